#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "gateway_core/gateway_core.hpp"

namespace merlinbridge::emulator {

/// The gateway inside an emulated process: the daemon's own core, or a simple policy in its place. The calls
/// are those of core::GatewayCore, except that a client is named by its slot.
class EmulatedGateway {
 public:
  virtual ~EmulatedGateway() = default;
  virtual void requestArrived(TimePoint, core::SlotRef client, const Request&) = 0;
  virtual void clientDisconnected(TimePoint, core::SlotRef client) = 0;
  virtual void attemptEnded(TimePoint, RequestId, AttemptNumber, Outcome, const core::UpstreamResponse&) = 0;
  virtual void counterCallEnded(TimePoint, const CounterKey&, CounterCallOutcome, double total,
                                Duration duration) = 0;
  virtual void endpointsUpdated(TimePoint, const config::EndpointList&) = 0;
  virtual const std::string& addressOf(HostId) const = 0;
  virtual void setAnswerDeadline(TimePoint) = 0;
  virtual std::size_t unansweredCount() const = 0;
};

/// The true state of the run, which no real gateway can see. For Policy::omniscient, the upper bound that
/// others are compared with.
struct GroundTruth {
  /// Whether the units are inside the customer's quota and ceiling now.
  std::function<bool(std::uint64_t customer, std::uint32_t plan, double units)> isInsideQuota;
  /// Work in flight at the host over its speed; below 0 if the host is of no use now.
  std::function<double(std::string_view address)> load;
};

/// Which gateway runs in the emulated processes.
enum class Policy {
  gatewayCore,  ///< The daemon's own core with its decision engine.
  admitAll,     ///< Admits all; hosts at random.
  evenQuota,    ///< Each gateway keeps to an even part of every quota and ceiling; hosts at random.
  omniscient    ///< Admits by the true quotas and sends to the host with the least load.
};
/// The name of a policy on the command line and in tables.
std::string_view wordOf(Policy);
/// The policy with that name; empty if there is none.
std::optional<Policy> parsePolicy(std::string_view word);

/// Makes the gateway of a policy. Queue and transport must outlive it.
std::unique_ptr<EmulatedGateway> makeGateway(Policy, const config::GatewayConfig&, TimePoint now,
                                             core::DeadlineQueue&, core::Transport&, const GroundTruth&);

}  // namespace merlinbridge::emulator
