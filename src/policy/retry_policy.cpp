#include "policy/retry_policy.hpp"

#include <algorithm>

namespace merlinbridge::policy {
namespace {

/// Retries and hedged requests that each first attempt adds to the budget.
constexpr double kRetriesPerFirstAttempt = 0.1;

/// Upper bound and initial value of the budget, in retries and hedged requests.
constexpr double kMaxBudget = 10.0;

}  // namespace

RetryPolicy::RetryPolicy(const EngineContext& context, const util::HostTable& hosts,
                         const HostIdentity& identity)
    : context_(context), hosts_(hosts), identity_(identity), budget_(kMaxBudget) {}

const Method& RetryPolicy::methodOf(const RequestInFlight& request) const {
  return context_.settings.methods[request.request.method.value];
}

Idempotency RetryPolicy::idempotencyOf(const RequestInFlight& request) const {
  const Idempotency idempotency = methodOf(request).idempotency;
  const bool needsKey = idempotency == Idempotency::deduplicated;
  return needsKey && !request.request.hasIdempotencyKey ? Idempotency::nonIdempotent : idempotency;
}

void RetryPolicy::attemptStarted(AttemptKind kind) {
  const double change = kind == AttemptKind::first ? kRetriesPerFirstAttempt : -1;
  budget_ = std::min(kMaxBudget, budget_ + change);
}

bool RetryPolicy::allowsRetry(const RequestInFlight& request) const {
  const TimePoint softDeadline = request.arrivedAt + methodOf(request).softDeadline;
  return budget_ >= 1 && request.attempts.size() < context_.settings.maxAttempts &&
         context_.now < std::min(softDeadline, request.request.deadline);
}

bool RetryPolicy::allowsHedge(const RequestInFlight& request) const {
  return idempotencyOf(request) != Idempotency::nonIdempotent && allowsRetry(request);
}

bool RetryPolicy::allowsHost(const RequestInFlight& request, HostId host) const {
  const Idempotency idempotency = idempotencyOf(request);
  if (idempotency == Idempotency::idempotent) return true;
  const Method& method = methodOf(request);
  return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
    if (!attempt.mayTakeEffect()) return true;
    return idempotency == Idempotency::deduplicated && deduplicates(host, attempt, method);
  });
}

bool RetryPolicy::deduplicates(HostId host, const Attempt& attempt, const Method& method) const {
  const bool withinWindow = context_.now < attempt.startedAt() + method.deduplicationWindow;
  const DeduplicationScope scope = method.deduplicationScope;
  const bool isKnown = scope == DeduplicationScope::all || identity_.isCertain(host);
  return withinWindow && isKnown && hosts_.inSameDeduplicationScope(scope, attempt.domain(), host);
}

TimePoint RetryPolicy::writeDeadline(const RequestInFlight& request) const {
  TimePoint deadline = TimePoint::max();
  if (idempotencyOf(request) != Idempotency::deduplicated) return deadline;
  const Duration window = methodOf(request).deduplicationWindow;
  for (const Attempt& attempt : request.attempts) {
    const bool isLast = &attempt == &request.attempts.back();
    if (!isLast && attempt.mayTakeEffect()) deadline = std::min(deadline, attempt.startedAt() + window);
  }
  return deadline;
}

bool RetryPolicy::clientMayRetry(const RequestInFlight& request) const {
  switch (idempotencyOf(request)) {
    case Idempotency::idempotent:
      return true;
    case Idempotency::deduplicated:
      // The client's retry may reach any host.
      return !request.mayTakeEffect() || methodOf(request).deduplicationScope == DeduplicationScope::all;
    case Idempotency::nonIdempotent:
      break;
  }
  return !request.mayTakeEffect();
}

}  // namespace merlinbridge::policy
