#include "scripted_discovery.hpp"

#include <algorithm>
#include <iterator>

namespace merlinbridge::testing {
namespace {

constexpr Duration kStep = 50ms;
constexpr Duration kHeartbeatInterval = 2s;

// The part of `bytes` that has arrived after `elapsed` if all of them arrive evenly over `span`.
std::size_t partOf(std::size_t bytes, Duration elapsed, Duration span) {
  if (elapsed >= span) return bytes;
  return static_cast<std::size_t>(static_cast<double>(bytes) * seconds(elapsed) / seconds(span));
}

}  // namespace

void ScriptedDiscovery::publish(const std::string& state, const DiscoveryAnswer& answer) {
  state_ = state;
  ++generation_;
  for (Call& call : calls_) {
    const bool isOpenWatch = call.isWatch && !call.isDone && call.sentBytes == call.bytes.size();
    if (!isOpenWatch) continue;
    call.answer = answer;
    call.bytes = listText(answer, "\"reset\":false,");
    call.headBytes = 0;
    call.sentBytes = 0;
    call.startedAt = gateway_.clock.currentTime;
  }
}

void ScriptedDiscovery::run(Duration span) {
  const TimePoint end = gateway_.clock.currentTime + span;
  while (gateway_.clock.currentTime < end) step();
}

Duration ScriptedDiscovery::runUntilDraining(Duration limit) {
  const TimePoint startedAt = gateway_.clock.currentTime;
  const auto elapsed = [&] { return gateway_.clock.currentTime - startedAt; };
  while (elapsed() < limit && hostGetsRequest()) step();
  return std::min(elapsed(), limit);
}

// Sends a request and answers it as the host if it comes there.
bool ScriptedDiscovery::hostGetsRequest() {
  TestPeer client = gateway_.connectClient();
  client.send(clientRequest("look"));
  gateway_.runUntil([&] {
    for (std::optional<TestPeer> peer; gateway_.host.accept(peer); peer.reset())
      hostConnections_.push_back(std::move(*peer));
    for (TestPeer& connection : hostConnections_) {
      if (!connection.hasReceived(kHeadEnd)) continue;
      connection.receivedBytes.clear();
      connection.send(okResponse("served"));
    }
    return client.hasReceived(kHeadEnd);
  });
  return client.hasReceived("served");
}

std::size_t ScriptedDiscovery::openCount() {
  std::size_t count = 0;
  for (Call& call : calls_)
    if (!call.peer.isClosedByRemote()) ++count;
  return count;
}

bool ScriptedDiscovery::asked(std::size_t call, const std::string& text) {
  return call < calls_.size() && std::next(calls_.begin(), std::ptrdiff_t(call))->peer.hasReceived(text);
}

void ScriptedDiscovery::step() {
  gateway_.advanceClock(kStep);
  gateway_.runPendingEvents();
  for (std::optional<TestPeer> peer; listener_.accept(peer); peer.reset()) {
    const DiscoveryAnswer answer = answers_[std::min(calls_.size(), answers_.size() - 1)];
    calls_.push_back(Call{.peer = std::move(*peer), .answer = answer});
  }
  for (Call& call : calls_) serve(call);
  gateway_.runPendingEvents();
}

void ScriptedDiscovery::serve(Call& call) {
  if (call.isDone || (call.bytes.empty() && !begin(call))) return;
  if (call.sentBytes < call.bytes.size()) return sendDue(call);
  sendMore(call);
}

// Returns false if there is nothing to send.
bool ScriptedDiscovery::begin(Call& call) {
  if (!call.peer.hasReceived(kHeadEnd)) return false;
  call.startedAt = gateway_.clock.currentTime;
  call.isWatch = call.peer.hasReceived("watch=1");
  if (call.isWatch && call.answer.rejectsWatches) call.answer.kind = DiscoveryAnswer::Kind::rejection;
  call.isDone = call.answer.kind != DiscoveryAnswer::Kind::list;
  if (call.answer.kind == DiscoveryAnswer::Kind::rejection) call.peer.send(kUnavailableResponse);
  const std::string list = listText(call.answer, "\"reset\":true,");
  const std::string whole = call.isWatch ? kOkHead + list : okResponse(listText({}, "\"reset\":true,"));
  call.headBytes = whole.find(kHeadEnd) + std::string_view(kHeadEnd).size();
  call.bytes = whole.substr(0, call.headBytes) + list;
  return !call.isDone;
}

void ScriptedDiscovery::sendDue(Call& call) {
  const std::size_t due = dueBytes(call);
  if (due == call.sentBytes) return;
  call.sentBytes +=
      call.peer.trySend(std::string_view(call.bytes).substr(call.sentBytes, due - call.sentBytes));
  call.lastSentAt = gateway_.clock.currentTime;
  // The system may take some real time for it, while the gateway's clock stands still.
  gateway_.runUntil([&] { return call.peer.unacknowledgedBytes() == 0 || call.peer.isClosedByRemote(); });
}

// Sends what follows once the whole list, or the half of it that is sent, has arrived.
void ScriptedDiscovery::sendMore(Call& call) {
  using Then = DiscoveryAnswer::Then;
  const TimePoint now = gateway_.clock.currentTime;
  switch (call.answer.then) {
    case Then::rest:
    case Then::heartbeats:
      if (now - call.lastSentAt < kHeartbeatInterval) return;
      call.lastSentAt = now;
      if (call.isWatch || call.answer.then == Then::heartbeats) call.peer.send("\n");
      return;
    case Then::blankLines:
      return call.peer.send("\n");
    case Then::endlessString:
      return call.peer.send("x");
    case Then::endlessEntries:
      return call.peer.send("{},");
    case Then::reset:
      call.peer.closeWithReset();
      call.isDone = true;
      return;
    case Then::silence:
      call.isDone = true;
      return;
  }
}

std::size_t ScriptedDiscovery::dueBytes(const Call& call) const {
  const Duration elapsed = gateway_.clock.currentTime - call.startedAt;
  if (elapsed < call.answer.headTakes) return partOf(call.headBytes, elapsed, call.answer.headTakes);
  const std::size_t listBytes = call.bytes.size() - call.headBytes;
  return call.headBytes + partOf(listBytes, elapsed - call.answer.headTakes, call.answer.listTakes);
}

std::string ScriptedDiscovery::entries(int count) const {
  std::string text = endpointJson(gateway_.host.port, "h1", state_);
  for (int other = 0; other < count; ++other)
    text += "," + endpointJson(1, "other" + std::to_string(other), "terminating");
  return text;
}

// The list, or the half of it that is sent.
std::string ScriptedDiscovery::listText(const DiscoveryAnswer& answer, const std::string& reset) const {
  using Then = DiscoveryAnswer::Then;
  if (answer.then == Then::rest) return endpointListJson(generation_, entries(otherHosts_), reset) + "\n";
  std::string half = endpointListJson(generation_, entries(otherHosts_ / 2), reset);
  half.resize(half.size() - std::string_view("]}").size());
  return half + (answer.then == Then::endlessString ? ",\"x" : ",");
}

}  // namespace merlinbridge::testing
