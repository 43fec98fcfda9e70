#include "gateway_core/gateway_core.hpp"

#include <algorithm>
#include <stdexcept>

namespace merlinbridge::core {
namespace {

// Hosts that may have a number at once.
constexpr std::size_t kMaxHosts = 4096;
// Of the longest deadline: a request that knew a host which has been gone for longer is no more.
constexpr int kNumberReuseDeadlines = 2;

}  // namespace

GatewayCore::GatewayCore(const config::GatewayConfig& config, TimePoint now, DeadlineQueue& deadlines,
                         Transport& transport, Timekeeper timekeeper)
    : settings_(config.settings),
      answerSlack_(config.answerSlack),
      maxDeadline_(config.longestDeadline),
      enforcesDeadlines_(timekeeper == Timekeeper::core),
      now_(now),
      names_{NameTable<MethodId>(config.methods), NameTable<PlanId>(config.plans),
             NameTable<ZoneId>(config.zones), NameTable<MachineId>(config.machines)},
      deadlines_(deadlines),
      transport_(transport),
      engine_(config.settings, config.seed, now, *this) {
  config::EndpointList known = config.known;
  known.complete = true;
  endpointsUpdated(now, known);
}

// ---- from the adapters to the module ----

RequestId GatewayCore::requestArrived(TimePoint now, SlotRef client, Request request) {
  now_ = now;
  // Answered while the client still waits: the slack that the rules allow, and the loop's own delay, before.
  if (enforcesDeadlines_)
    request.deadline = std::max(now, request.deadline - answerSlack_ - deadlines_.late(now));
  request.deadline = std::min(request.deadline, answerAllBy_);
  const TimePoint deadline = enforcesDeadlines_ ? request.deadline : request.deadline + answerSlack_;
  const SlotRef slot = requests_.add();
  const RequestId requestId{slot.packed()};
  PendingRequest& row = *requests_.find(slot);
  row.client = client, row.deadline = deadline;
  row.by = deadlines_.add(deadline, [this, requestId](TimePoint at) { expire(at, requestId); });
  ++unanswered_;
  request.requestId = requestId;
  engine_.requestArrived(now, request);
  runDeferred(now, requestId);
  return requestId;
}

void GatewayCore::clientLeft(TimePoint now, RequestId requestId) {
  now_ = now;
  if (!takeUnanswered(requestId)) return;
  engine_.clientLeft(now, requestId);
  runDeferred(now, requestId);
}

void GatewayCore::attemptEnded(TimePoint now, RequestId requestId, AttemptNumber no, Outcome outcome,
                               const UpstreamResponse& response) {
  now_ = now;
  PendingRequest* const row = find(requestId);
  if (!row || no.value >= row->attempts.size() || !row->attempts[no.value].out) return;
  Attempt& attempt = row->attempts[no.value];
  attempt.out = false;
  --row->out, --outAt_[attempt.host.value];
  if ((outcome == Outcome::ok || response.answered) && takeUnanswered(requestId) && !response.answered)
    transport_.answerOk(row->client, response.body, response.type);
  engine_.attemptEnded(
      now, {requestId, no, attempt.host, outcome, row->answered, response.took.value_or(now - attempt.sentAt),
            outcome == Outcome::ok ? response.trueUnits : 0, response.load});
  runDeferred(now, requestId);
}

void GatewayCore::counterCallEnded(TimePoint now, const CounterKey& name, CounterCallOutcome end,
                                   double total, Duration took) {
  now_ = now;
  engine_.counterCallEnded(now, name, end, total, took);
  runDeferred(now, {});
}

void GatewayCore::endpointsUpdated(TimePoint now, const config::EndpointList& endpoints) {
  now_ = now;
  std::vector<HostUpdate> lines;
  for (const config::Endpoint& line : endpoints.entries) {
    const auto host = hostIdFor(line);
    if (!host) continue;
    std::string& address = addresses_[host->value];
    // Guards against connections to an earlier life of a host, which nobody has told of its end.
    const bool restarted = std::exchange(startedAt_[host->value], line.started) != line.started;
    if (!line.serving || restarted || (!line.address.empty() && !address.empty() && line.address != address))
      transport_.hostUnavailable(*host);
    if (!line.address.empty()) address = line.address;
    if (gone_[host->value] != line.gone) goneAt_[host->value] = now;
    gone_[host->value] = line.gone;
    lines.push_back({*host,
                     names_.zones.idOf(line.zone),
                     {line.cell},
                     names_.machines.idOf(line.machine),
                     line.serving,
                     line.weight,
                     line.started.count() ? std::optional(TimePoint(line.started)) : std::nullopt});
  }
  std::vector<char> notServing(hosts_.size(), 0);
  for (const HostUpdate& line : lines) notServing[line.host.value] = !line.serving;
  if (endpoints.complete) {
    std::vector<char> named(hosts_.size(), 0);
    for (const HostUpdate& line : lines) named[line.host.value] = 1;
    for (std::uint32_t h = 0; h < named.size(); ++h)
      if (notServing[h] |= !named[h]; !named[h] && !std::exchange(gone_[h], 1))
        goneAt_[h] = now, transport_.hostUnavailable({h});
    engine_.allHostsUpdated(now, lines);
  } else {
    engine_.hostsUpdated(now, lines);
  }
  // Guards against a connection that comes up so late that its attempt is new to a host that drains by then.
  requests_.each([&](SlotRef slot, const PendingRequest& row) {
    for (std::uint32_t no = 0; no < row.attempts.size(); ++no)
      if (const Attempt& c = row.attempts[no];
          c.out && notServing[c.host.value] && transport_.isUnsent(c.link))
        deferred_.emplace_back([this, requestId = RequestId{slot.packed()}, no](TimePoint at) {
          abandonAttempt(at, requestId, {no}, Outcome::notSent);
        });
  });
  runDeferred(now, {});
}

// Guards against requests whose time is longer than the gateway's own, as with hosts that hang: the end would
// find them without an answer.
void GatewayCore::setAnswerDeadline(TimePoint answerBy) {
  answerAllBy_ = answerBy;
  requests_.each([this](SlotRef slot, PendingRequest& row) {
    if (row.answered || row.deadline <= answerAllBy_) return;
    deadlines_.cancel(row.by);
    row.deadline = answerAllBy_;
    row.by = deadlines_.add(
        answerAllBy_, [this, requestId = RequestId{slot.packed()}](TimePoint at) { expire(at, requestId); });
  });
}

HostId GatewayCore::hostNamed(std::string_view name) const {
  if (const auto known = hosts_.find(name)) return *known;
  throw std::out_of_range("no host named " + std::string(name));
}

std::optional<HostId> GatewayCore::hostIdFor(const config::Endpoint& line) {
  if (const auto known = hosts_.find(line.name)) return known;
  if (line.gone) return std::nullopt;  // never heard of, and no more
  // Guards against work for every request that grows with all the hosts that there ever were.
  for (std::uint32_t h = 0; h < gone_.size(); ++h) {
    if (!gone_[h] || outAt_[h] > 0) continue;
    if (now_ - goneAt_[h] <= kNumberReuseDeadlines * maxDeadline_ && hosts_.size() < kMaxHosts) continue;
    hosts_.rename({h}, line.name);
    transport_.hostUnavailable({h});  // what came to rest there after its end leads to another machine
    addresses_[h].clear(), startedAt_[h] = line.started, gone_[h] = 0;
    return HostId{h};
  }
  if (hosts_.size() < kMaxHosts) {
    addresses_.emplace_back(), startedAt_.push_back(line.started), gone_.push_back(0);
    goneAt_.emplace_back(), outAt_.push_back(0);
    return hosts_.idOf(line.name);
  }
  transport_.endpointTableFull(line.name);
  return std::nullopt;
}

// ---- from the module to the adapters ----

// The request, if its client still waits; from here on it has its answer.
GatewayCore::PendingRequest* GatewayCore::takeUnanswered(RequestId requestId) {
  PendingRequest* const row = find(requestId);
  if (!row || row->answered) return nullptr;
  row->answered = true;
  --unanswered_;
  return row;
}

bool GatewayCore::isPending(RequestId requestId) {
  const PendingRequest* const row = find(requestId);
  return row && !row->answered && transport_.clientConnected(row->client);
}

void GatewayCore::startAttempt(RequestId requestId, HostId host, AttemptDeadline deadline) {
  PendingRequest* const row = find(requestId);
  if (!row) return;
  // Guards against an attempt for a client whose end has come and is handled only after this, as in a late
  // turn.
  const bool wanted = isPending(requestId);
  if (!wanted) deferred_.emplace_back([this, requestId](TimePoint now) { clientLeft(now, requestId); });
  const AttemptNumber no{static_cast<std::uint32_t>(row->attempts.size())};
  row->attempts.push_back({host, now_, {}, true});
  ++row->out, ++outAt_[host.value];
  const TimePoint by = std::min(deadline.abandonAt, row->deadline);
  std::variant<SlotRef, Outcome> sent = Outcome::notSent;
  if (wanted) sent = transport_.startAttempt(requestId, no, row->client, host, {by, deadline.writeBy});
  if (const Outcome* const at = std::get_if<Outcome>(&sent)) {
    deferred_.emplace_back(
        [this, requestId, no, outcome = *at](TimePoint now) { attemptEnded(now, requestId, no, outcome); });
    return;
  }
  row->attempts[no.value].link = std::get<SlotRef>(sent);
  if (enforcesDeadlines_ && by < row->deadline)
    deadlines_.add(
        by, [this, requestId, no](TimePoint now) { abandonAttempt(now, requestId, no, Outcome::noAnswer); });
}

void GatewayCore::cancel(RequestId requestId, AttemptNumber no) {
  deferred_.emplace_back(
      [this, requestId, no](TimePoint now) { abandonAttempt(now, requestId, no, Outcome::cancelled); });
}

void GatewayCore::abandonAttempt(TimePoint now, RequestId requestId, AttemptNumber no, Outcome outcome) {
  const PendingRequest* const row = find(requestId);
  if (!row || no.value >= row->attempts.size() || !row->attempts[no.value].out) return;
  if (transport_.isUnsent(row->attempts[no.value].link)) outcome = Outcome::notSent;
  if (transport_.closeAttempt(row->client, no, row->attempts[no.value].link))
    attemptEnded(now, requestId, no, outcome);
}

void GatewayCore::reject(RequestId requestId, Duration retryAfter) {
  if (const PendingRequest* const row = takeUnanswered(requestId))
    transport_.answerRejected(row->client, retryAfter);
}

void GatewayCore::fail(RequestId requestId) {
  if (const PendingRequest* const row = takeUnanswered(requestId)) transport_.answerFailed(row->client);
}

void GatewayCore::addToCounter(const CounterKey& name, double units, Duration keepFor) {
  transport_.addToCounter(name, units, keepFor);
}

void GatewayCore::wakeAt(TimePoint at, TimerId timer) {
  deadlines_.add(at, [this, timer](TimePoint now) {
    now_ = now;
    engine_.timerFired(now, timer);
    runDeferred(now, {});
  });
}

// The request's time is up: what is out is given up, and the module answers; a request that it holds all the
// same is failed here, so that none is lost.
void GatewayCore::expire(TimePoint now, RequestId requestId) {
  for (std::uint32_t no = 0; enforcesDeadlines_ && find(requestId) && no < find(requestId)->attempts.size();
       ++no)
    abandonAttempt(now, requestId, {no}, Outcome::noAnswer);
  if (const PendingRequest* const row = takeUnanswered(requestId)) {
    transport_.answerFailed(row->client);
    engine_.clientLeft(now, requestId);
  }
  runDeferred(now, requestId);
}

// After every call of the module: the ends that came meanwhile, in order, and the row if it is done with.
void GatewayCore::runDeferred(TimePoint now, RequestId requestId) {
  if (!runningDeferred_) {
    runningDeferred_ = true;
    while (!deferred_.empty()) {
      const auto next = std::move(deferred_.front());
      deferred_.pop_front();
      next(now);
    }
    runningDeferred_ = false;
  }
  // Guards against an attempt that goes on its way once its client has left, or has its answer.
  for (std::uint32_t no = 0;
       find(requestId) && find(requestId)->answered && no < find(requestId)->attempts.size(); ++no)
    if (const Attempt& c = find(requestId)->attempts[no]; c.out && transport_.isUnsent(c.link))
      abandonAttempt(now, requestId, {no}, Outcome::notSent);
  const PendingRequest* const row = find(requestId);
  if (!row || !row->answered || row->out > 0) return;
  deadlines_.cancel(row->by);
  requests_.drop(SlotRef::unpacked(requestId.value));
}

}  // namespace merlinbridge::core
