// A host of the service as a stand-in, and a fleet of them.
#pragma once

#include <condition_variable>

#include "standin.hpp"

namespace standin {

/// The value of a parameter in a list like "units=2,spread=3"; -1 if it is missing or no whole number.
inline long parameter(const std::string& list, const std::string& name) {
  std::istringstream words(list);
  for (std::string word; std::getline(words, word, ',');) {
    if (word.rfind(name + "=", 0) != 0) continue;
    char* end = nullptr;
    const long value = std::strtol(word.c_str() + name.size() + 1, &end, 10);
    return *end == 0 && end != word.c_str() + name.size() + 1 ? value : -1;
  }
  return -1;
}

/// A host with some cores and a waiting room. `answer` runs when a request's last byte has arrived; it returns
/// the response, or an empty string to close the connection.
class Host {
 public:
  using Answer = std::function<std::string(Host&, const Message&)>;
  Host(std::string name, int cores, int room, Answer answer)
      : name_(std::move(name)),
        cores_(cores),
        room_(room),
        answer_(std::move(answer)),
        listener_([this](Connection& connection) { serve(connection); }) {}
  const std::string& name() const { return name_; }
  std::string address() const { return listener_.address(); }

  /// Occupies a core for `seconds`. False if the waiting room is full: the request is turned away.
  bool work(double seconds) {
    std::unique_lock lock(mutex_);
    if (held_ >= cores_ + room_) return false;
    ++held_;
    free_.wait(lock, [this] { return busy_ < cores_; });
    ++busy_;
    lock.unlock();
    sleepFor(seconds);
    lock.lock();
    --busy_;
    --held_;
    free_.notify_one();
    return true;
  }

 private:
  void serve(Connection& connection) {
    Message request;
    while (connection.read(request)) {
      const std::string answer = answer_(*this, request);
      if (answer.empty() || !connection.send(answer)) return;
    }
  }

  const std::string name_;
  const int cores_, room_;
  std::mutex mutex_;
  std::condition_variable free_;
  int busy_ = 0, held_ = 0;
  Answer answer_;
  Listener listener_;
};

inline const std::string kTurnedAway = response(503, "", "Srv-Declined: 1\r\n");

using Fleet = std::vector<std::unique_ptr<Host>>;

inline std::vector<Endpoint> endpointsOf(const Fleet& fleet, int zones) {
  std::vector<Endpoint> endpoints;
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    Endpoint endpoint;
    endpoint.id = fleet[index]->name();
    endpoint.address = fleet[index]->address();
    endpoint.zone = std::string(1, static_cast<char>('a' + static_cast<int>(index) % zones));
    endpoint.cell = static_cast<int>(index) % zones;
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

}  // namespace standin
