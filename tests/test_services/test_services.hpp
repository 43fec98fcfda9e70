#pragma once

// Hosts, a counter and discovery of our own on loopback, for the real daemon to speak with. All of them run
// on the one thread of the io_context that they are given. What goes wrong with them is scripted.

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <charconv>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emulator/random_stream.hpp"
#include "http/message.hpp"

namespace merlinbridge::test_services {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using WallClock = std::chrono::steady_clock;

// One connection that was accepted: hands over each whole request, in order, and sends what is said.
class Line : public std::enable_shared_from_this<Line> {
 public:
  using Heard = std::function<void(const std::shared_ptr<Line>&, const http::Message&)>;
  Line(Tcp::socket socket, Heard heard) : socket_(std::move(socket)), heard_(std::move(heard)) {}

  void read() {
    bytes_.resize(used_ + 8192);
    socket_.async_read_some(asio::buffer(bytes_.data() + used_, 8192),
                            [self = shared_from_this()](const Error& error, std::size_t n) {
                              if (error) return self->close();
                              self->used_ += n;
                              self->parse();
                              if (self->open_) self->read();
                            });
  }
  void say(std::string text) {
    if (!open_) return;
    unsent_.push_back(std::move(text));
    if (unsent_.size() == 1) write();
  }
  void close() {
    Error error;
    open_ = false;
    socket_.close(error);
  }
  void reset() {
    Error error;
    socket_.set_option(asio::socket_base::linger(true, 0), error);
    close();
  }
  bool isOpen() const { return open_; }

 private:
  void parse() {
    while (open_ && used_ > 0) {
      const auto stage = message_.advance(bytes_.data(), used_);
      if (stage == http::Message::Stage::bad) return close();
      if (stage != http::Message::Stage::done) return;
      heard_(shared_from_this(), message_);
      const std::size_t size = message_.size();
      message_.clear();
      std::memmove(bytes_.data(), bytes_.data() + size, used_ - size);
      used_ -= size;
    }
  }
  void write() {
    asio::async_write(socket_, asio::buffer(unsent_.front()),
                      [self = shared_from_this()](const Error& error, std::size_t) {
                        if (error) return self->close();
                        self->unsent_.pop_front();
                        if (!self->unsent_.empty()) self->write();
                      });
  }

  Tcp::socket socket_;
  Heard heard_;
  std::string bytes_;
  std::size_t used_ = 0;
  http::Message message_{http::Message::Kind::request};
  std::deque<std::string> unsent_;
  bool open_ = true;
};

class Listener {
 public:
  Listener(asio::io_context& io, Line::Heard heard)
      : acceptor_(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)), heard_(std::move(heard)) {
    accept();
  }
  std::string address() const { return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port()); }
  std::size_t accepted() const { return accepted_; }
  // As when the process behind it dies: what is open is reset, what comes is refused.
  void die() {
    Error error;
    acceptor_.close(error);
    for (const auto& line : lines_)
      if (const auto open = line.lock()) open->reset();
    lines_.clear();
  }

 private:
  void accept() {
    acceptor_.async_accept([this](const Error& error, Tcp::socket socket) {
      if (error) return;
      ++accepted_;
      Error ignored;
      socket.set_option(Tcp::no_delay(true), ignored);
      const auto line = std::make_shared<Line>(std::move(socket), heard_);
      std::erase_if(lines_, [](const auto& old) { return old.expired(); });
      lines_.push_back(line);
      line->read();
      accept();
    });
  }
  Tcp::acceptor acceptor_;
  Line::Heard heard_;
  std::vector<std::weak_ptr<Line>> lines_;
  std::size_t accepted_ = 0;
};

inline std::string answer(int status, const std::string& body, const std::string& fields = "") {
  return fmt::format("HTTP/1.1 {} x\r\n{}Content-Length: {}\r\n\r\n{}", status, fields, body.size(), body);
}

// A host of some cores behind one queue.
class Host {
 public:
  enum class Mood { well, hangs, errs, resets };

  Host(asio::io_context& io, int cores, int room, bool reports,
       std::function<Duration(std::string_view kind)> work)
      : io_(io),
        cores_(cores),
        room_(room),
        reports_(reports),
        work_(std::move(work)),
        listener_(io, [this](const auto& line, const http::Message& m) { heard(line, m); }) {}

  std::string address() const { return listener_.address(); }
  std::size_t connects() const { return listener_.accepted(); }
  void be(Mood mood) { mood_ = mood; }
  void die() { listener_.die(); }
  std::uint64_t asked = 0, served = 0;
  double units = 0;  // of what has reached it whole

 private:
  struct Job {
    std::shared_ptr<Line> line;
    Duration work;
  };
  void heard(const std::shared_ptr<Line>& line, const http::Message& m) {
    ++asked;
    const auto quota = m.get("Quota-Info");
    if (const auto at = quota.find("units="); at != std::string_view::npos) {
      double u = 0;
      std::from_chars(quota.data() + at + 6, quota.data() + quota.size(), u);
      units += u;
    }
    if (mood_ == Mood::hangs) return;
    if (mood_ == Mood::resets) return line->reset();
    if (running_ >= cores_ && queue_.size() >= static_cast<std::size_t>(room_))
      return line->say(answer(503, "", "Srv-Declined: 1\r\n"));
    queue_.push_back({line, work_(m.get("Req-Kind"))});
    next();
  }
  void next() {
    while (running_ < cores_ && !queue_.empty()) {
      const Job job = std::move(queue_.front());
      queue_.pop_front();
      if (!job.line->isOpen()) continue;  // given up: its work stops
      ++running_;
      auto timer = std::make_shared<asio::steady_timer>(io_, job.work);
      timer->async_wait([this, timer, job](const Error&) {
        --running_, ++served;
        const auto now = WallClock::now();
        rate_ = rate_ * std::exp(-seconds(now - doneAt_)) + 1, doneAt_ = now;
        job.line->say(mood_ == Mood::errs ? answer(500, "") : answer(200, "ok", report()));
        next();
      });
    }
  }
  std::string report() const {
    if (!reports_) return "";
    return fmt::format("Srv-Load: inflight={},queue={},qps={:.3f}\r\n",
                       running_ + static_cast<int>(queue_.size()), queue_.size(), rate_);
  }

  asio::io_context& io_;
  const int cores_, room_;
  const bool reports_;
  std::function<Duration(std::string_view)> work_;
  Mood mood_ = Mood::well;
  int running_ = 0;
  double rate_ = 0;
  WallClock::time_point doneAt_{};
  std::deque<Job> queue_;
  Listener listener_;
};

// Adds to named numbers, one call after another.
class Counter {
 public:
  Counter(asio::io_context& io, Duration service)
      : io_(io),
        service_(service),
        listener_(io, [this](const auto& line, const http::Message& m) { heard(line, m); }) {}

  std::string address() const { return listener_.address(); }
  void silence(bool on) { silent_ = on; }
  void lose() { totals_.clear(); }  // as an empty one in its place
  void die() { listener_.die(); }
  std::uint64_t calls = 0;

 private:
  void heard(const std::shared_ptr<Line>& line, const http::Message& m) {
    ++calls;
    if (silent_) return;
    const std::string target(m.target());
    const auto mark = target.find("?n=");
    if (!target.starts_with("/tally/") || mark == std::string::npos) return line->say(answer(404, ""));
    double n = 0;
    std::from_chars(target.data() + mark + 3, target.data() + target.size(), n);
    const auto now = WallClock::now();
    busy_ = std::max(busy_, now) + service_;
    auto timer = std::make_shared<asio::steady_timer>(io_, busy_);
    timer->async_wait([this, timer, line, name = target.substr(7, mark - 7), n](const Error&) {
      line->say(answer(200, fmt::format("{:.7g}", totals_[name] += n)));
    });
  }
  asio::io_context& io_;
  const Duration service_;
  WallClock::time_point busy_{};
  bool silent_ = false;
  std::map<std::string, double> totals_;
  Listener listener_;
};

// Tells the list that it is given, to whoever watches, and beats.
class Discovery {
 public:
  explicit Discovery(asio::io_context& io)
      : beat_(io), listener_(io, [this](const auto& line, const http::Message& m) { heard(line, m); }) {
    tick();
  }
  std::string address() const { return listener_.address(); }
  void tell(std::string list) {
    list_ = std::move(list);
    for (const auto& line : watches_) chunk(line, list_ + "\n");
  }
  void silence(bool on) { silent_ = on; }

 private:
  static void chunk(const std::shared_ptr<Line>& line, const std::string& text) {
    line->say(fmt::format("{:x}\r\n{}\r\n", text.size(), text));
  }
  void heard(const std::shared_ptr<Line>& line, const http::Message& m) {
    if (silent_) return;
    if (m.target().find("watch=1") == std::string_view::npos) return line->say(answer(200, list_));
    line->say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    chunk(line, list_ + "\n");
    watches_.push_back(line);
  }
  void tick() {
    beat_.expires_after(std::chrono::seconds(2));
    beat_.async_wait([this](const Error& error) {
      if (error) return;
      std::erase_if(watches_, [](const auto& line) { return !line->isOpen(); });
      for (const auto& line : watches_)
        if (!silent_) chunk(line, "\n");
      tick();
    });
  }
  asio::steady_timer beat_;
  std::string list_ = R"({"generation":1,"reset":true,"instances":[]})";
  bool silent_ = false;
  std::vector<std::shared_ptr<Line>> watches_;
  Listener listener_;
};

}  // namespace merlinbridge::test_services
