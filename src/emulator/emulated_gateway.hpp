#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "gateway_core/gateway_core.hpp"

namespace merlinbridge::emulator {

/// The gateway that runs in an emulated process: the daemon's own core, or a simple policy in its place. The
/// functions are those of core::GatewayCore, except that a client is identified by its slot.
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

/// The true state of the run, which no real gateway can see. Used by Policy::omniscient, the upper bound that
/// the other policies are compared with.
struct GroundTruth {
  /// Whether the units are inside the customer's quota and ceiling now.
  std::function<bool(std::uint64_t customer, std::uint32_t plan, double units)> isInsideQuota;
  /// Requests in flight at the host divided by its current speed; below 0 if the host cannot serve now.
  std::function<double(std::string_view address)> load;
};

/// Which gateway runs in the emulated processes.
enum class Policy {
  gatewayCore,  ///< The daemon's own core with its decision engine.
  admitAll,     ///< Admits all requests; chooses hosts at random.
  evenQuota,    ///< Enforces an equal share of every quota and ceiling; chooses hosts at random.
  omniscient    ///< Admits by the true quotas; chooses the host with the lowest load.
};
/// Returns the name of a policy on the command line and in result tables.
std::string_view wordOf(Policy);
/// Returns the policy with that name; empty if there is none.
std::optional<Policy> parsePolicy(std::string_view word);

/// Creates the gateway of a policy. Queue and transport must outlive it.
std::unique_ptr<EmulatedGateway> makeGateway(Policy, const config::GatewayConfig&, TimePoint now,
                                             core::DeadlineQueue&, core::Transport&, const GroundTruth&);

}  // namespace merlinbridge::emulator
