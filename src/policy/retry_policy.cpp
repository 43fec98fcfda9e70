#include "policy/retry_policy.hpp"

#include <algorithm>

namespace merlinbridge::policy {
namespace {

/// Retries and hedged requests that each first attempt adds to the budget.
constexpr double kRetryFraction = 0.1;

/// The budget's upper bound, and its level at start: retries and hedged requests at once.
constexpr double kMaxBudget = 10.0;

}  // namespace

RetryPolicy::RetryPolicy(const EngineContext& context, const util::HostTable& hosts)
    : context_(context), hosts_(hosts), budget_(kMaxBudget) {}

const Method& RetryPolicy::methodOf(const RequestInFlight& request) const {
  return context_.settings.methods[request.request.method.value];
}

Repeat RetryPolicy::repeatOf(const RequestInFlight& request) const {
  const Repeat repeat = methodOf(request).repeat;
  const bool needsKey = repeat == Repeat::deduplicated;
  return needsKey && !request.request.hasIdempotencyKey ? Repeat::nonIdempotent : repeat;
}

void RetryPolicy::attemptStarted(AttemptKind kind) {
  const double change = kind == AttemptKind::first ? kRetryFraction : -1;
  budget_ = std::min(kMaxBudget, budget_ + change);
}

bool RetryPolicy::allowsRetry(const RequestInFlight& request) const {
  const TimePoint softDeadline = request.arrivedAt + methodOf(request).softDeadline;
  return budget_ >= 1 && request.attempts.size() < context_.settings.maxAttempts &&
         context_.now < std::min(softDeadline, request.request.deadline);
}

bool RetryPolicy::allowsHedge(const RequestInFlight& request) const {
  return repeatOf(request) != Repeat::nonIdempotent && allowsRetry(request);
}

bool RetryPolicy::allowsHost(const RequestInFlight& request, HostId host) const {
  const Repeat repeat = repeatOf(request);
  if (repeat == Repeat::idempotent) return true;
  const Method& method = methodOf(request);
  return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
    if (!attempt.mayTakeEffect()) return true;
    return repeat == Repeat::deduplicated && recognizes(host, attempt, method);
  });
}

bool RetryPolicy::recognizes(HostId host, const Attempt& attempt, const Method& method) const {
  const bool withinWindow = context_.now < attempt.startedAt() + method.window;
  return withinWindow && hosts_.inSameDeduplicationScope(method.group, attempt.host(), host);
}

TimePoint RetryPolicy::writeDeadline(const RequestInFlight& request) const {
  TimePoint deadline = TimePoint::max();
  if (repeatOf(request) != Repeat::deduplicated) return deadline;
  const Duration window = methodOf(request).window;
  for (const Attempt& attempt : request.attempts) {
    const bool isLast = &attempt == &request.attempts.back();
    if (!isLast && attempt.mayTakeEffect()) deadline = std::min(deadline, attempt.startedAt() + window);
  }
  return deadline;
}

bool RetryPolicy::clientMayRepeat(const RequestInFlight& request) const {
  switch (repeatOf(request)) {
    case Repeat::idempotent:
      return true;
    case Repeat::deduplicated:
      // The client's repeat may reach any host.
      return !request.mayTakeEffect() || methodOf(request).group == Group::all;
    case Repeat::nonIdempotent:
      break;
  }
  return !request.mayTakeEffect();
}

}  // namespace merlinbridge::policy
