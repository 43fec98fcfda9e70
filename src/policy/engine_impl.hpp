#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include "policy/counter_exchange.hpp"
#include "policy/host_selection.hpp"
#include "policy/load_shedding.hpp"
#include "policy/retry_policy.hpp"

namespace merlinbridge {

/// Decides the order of the checks for a request, and hands every event on to the parts that learn from it.
/// Owns all parts; the order of the members is the order in which they need each other.
class DecisionEngine::Impl {
 public:
  Impl(PolicySettings settings, std::uint64_t seed, TimePoint now, DecisionSink& sink)
      : context_(std::move(settings), seed, now, sink) {}

  void advanceTo(TimePoint now) { context_.now = now; }
  void updateHosts(const std::vector<HostUpdate>& updates, bool complete);
  /// Quota first, then the limits that need no counter, then the hosts' utilization.
  void admit(const Request& request);
  void endAttempt(const AttemptResult& result) {
    const auto found = requests_.find(result.requestId.value);
    if (found == requests_.end() || result.attemptNumber.value >= found->second.attempts.size()) return;
    const policy::Attempt::Ended ended =
        std::exchange(found->second.attempts[result.attemptNumber.value].ended, nullptr);
    if (ended) ended(result);
  }
  void endClient(RequestId id) {
    const auto found = requests_.find(id.value);
    if (found != requests_.end()) found->second.answered = true;
  }
  void endCounterCall(const CounterKey& name, CounterCallOutcome end, double total, Duration took) {
    exchange_.callEnded(name, end, total, took);
  }
  void fire(TimerId timer) { context_.timers.fire(timer); }

 private:
  /// An attempt by the number of its request and its place among that one's attempts.
  struct AttemptRef {
    std::uint64_t request;
    std::size_t number;
  };

  policy::CustomerState& customerOf(const Request& request);
  void reject(const Request& request, double retryAfterSeconds);
  void shed(const Request& request, double retryAfterSeconds);
  bool startAttempt(policy::RequestInFlight& request);
  void finishAttempt(policy::RequestInFlight& request, std::size_t number, const AttemptResult& result);
  void learnFrom(const AttemptResult& result, const policy::RequestInFlight& request);
  static void account(const AttemptResult& result, const policy::RequestInFlight& request);
  void giveUp(policy::RequestInFlight& request);
  /// Answers that never come, whatever swallows them: a hedged request where two attempts may be in
  /// flight, else the attempt is cancelled and its end leads to a retry. Costs work done twice where
  /// every host is slow.
  void handleOverdue(policy::RequestInFlight& request, std::size_t number);
  void scheduleSweep(Duration interval) {
    if (sweepScheduled_) return;
    sweepScheduled_ = true;
    context_.runAt(context_.now + interval, [this] {
      sweepScheduled_ = false;
      sweep();
    });
  }
  void sweep();
  void sweepAttempts();
  void forgetIdleCustomers();

  policy::EngineContext context_;
  util::HostTable hosts_;
  policy::HostStatistics statistics_{context_};
  policy::OutlierDetection outliers_{context_};
  policy::SlowStart slowStart_{context_, hosts_};
  policy::HostSelection selection_{context_, hosts_, statistics_, outliers_, slowStart_};
  policy::RetryPolicy retries_{context_, hosts_};
  policy::LoadShedding shedding_{context_, hosts_, statistics_, outliers_};
  policy::CounterExchange exchange_{context_};
  std::map<CustomerId, policy::CustomerState> customers_;
  TimePoint customersSweptAt_{};
  std::unordered_map<std::uint64_t, policy::RequestInFlight> requests_;  ///< By id; never iterated.
  std::deque<AttemptRef> attemptsByStart_;
  bool sweepScheduled_ = false;
};

}  // namespace merlinbridge
