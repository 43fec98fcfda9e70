#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "gateway_core/gateway_core.hpp"

namespace merlinbridge::emulator {

/// Whoever decides at a gateway's door: the project's own core with its module, or another policy in its
/// place. The calls are the core's own.
class EmulatedGateway {
 public:
  virtual ~EmulatedGateway() = default;
  virtual void requestArrived(TimePoint, core::SlotRef client, const Request&) = 0;
  virtual void clientLeft(TimePoint, core::SlotRef client) = 0;
  virtual void attemptEnded(TimePoint, RequestId, AttemptNumber, Outcome, const core::UpstreamResponse&) = 0;
  virtual void counterCallEnded(TimePoint, const CounterKey&, CounterCallOutcome, double total,
                                Duration took) = 0;
  virtual void endpointsUpdated(TimePoint, const config::EndpointList&) = 0;
  virtual const std::string& addressOf(HostId) const = 0;
  virtual void setAnswerDeadline(TimePoint) = 0;
  virtual std::size_t unanswered() const = 0;
};

/// What only a policy that is told the truth knows.
struct Truth {
  std::function<bool(std::uint64_t customer, std::uint32_t plan, double units)>
      inside;                                            ///< quota and ceiling
  std::function<double(std::string_view address)> load;  ///< work held over cores; below 0: of no use now
};

enum class Policy { module, all, even, truth };
std::string_view wordOf(Policy);
std::optional<Policy> policyNamed(std::string_view word);

std::unique_ptr<EmulatedGateway> makeGateway(Policy, const config::GatewayConfig&, TimePoint now,
                                             core::DeadlineQueue&, core::Transport&, const Truth&);

}  // namespace merlinbridge::emulator
