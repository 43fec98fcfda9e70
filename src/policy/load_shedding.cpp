#include "policy/load_shedding.hpp"

#include <algorithm>
#include <cmath>

#include "policy/count_slot.hpp"

namespace merlinbridge::policy {
namespace {

/// Utilization from which requests of priority 0 are rejected. Rises linearly to 1 for requests of
/// priority 1.
constexpr double kSheddingThreshold = 0.6;

/// Time constant, in seconds, of load reports.
constexpr double kReportDecaySeconds = 4.5;

/// Weight of the hosts' reports in the utilization, relative to this gateway's own observation.
constexpr double kReportWeight = 2.0;

/// Upper bound of the utilization that is taken from one report.
constexpr double kMaxReportedUtilization = 2.0;

}  // namespace

LoadShedding::LoadShedding(EngineContext& context, const util::HostTable& hosts,
                           const HostStatistics& statistics, const OutlierDetection& outliers)
    : context_(context),
      hosts_(hosts),
      statistics_(statistics),
      outliers_(outliers),
      notice_(EngineEvent::loadSheddingStarted, EngineEvent::loadSheddingStopped, slotLength()) {}

double LoadShedding::ownUtilization(MethodId method) const {
  const double hosts = hosts_.servingCount() / double(context_.settings.gateways);
  const double total = statistics_.totalCapacity(context_.settings.methods[method.value], hosts);
  const double capacity =
      capacityByMethod_.empty() ? total : std::min(total, capacityByMethod_[method.value]);
  return capacity > 0 ? statistics_.inFlight() / capacity : 0;
}

double LoadShedding::utilization(MethodId method) const {
  const double own = ownUtilization(method);
  const double reports = reportCount_.read(context_.now, kReportDecaySeconds);
  if (reports < 1) return own;
  const double weightedReported =
      kReportWeight * reportedUtilization_.read(context_.now, kReportDecaySeconds) / reports;
  return (own + weightedReported) / (1 + kReportWeight);
}

double LoadShedding::highestPriority() const {
  double highest = 0;
  for (const Method& method : context_.settings.methods)
    for (const Plan& plan : context_.settings.plans) highest = std::max(highest, method.utility * plan.price);
  return highest;
}

double LoadShedding::priority(const Request& request) const {
  const Method& method = context_.settings.methods[request.method.value];
  const Plan& plan = context_.settings.plans[request.plan.value];
  const double highest = highestPriority();
  return highest > 0 ? method.utility * plan.price / highest : 1;
}

bool LoadShedding::admits(const Request& request) const {
  const double admittedBelow = kSheddingThreshold + (1 - kSheddingThreshold) * priority(request);
  return utilization(request.method) < admittedBelow;
}

void LoadShedding::recordShed() {
  lastShedAt_ = context_.now;
  notice_.set(true, context_.now, context_.sink);
}

void LoadShedding::recordLoad(const UsableLoad& load, const Method& method) {
  const double reportedUtilization =
      load.inFlight / HostStatistics::reportedCapacity(load.responsesPerSecond, method);
  reportCount_.add(context_.now, kReportDecaySeconds, 1);
  reportedUtilization_.add(context_.now, kReportDecaySeconds,
                           std::min(kMaxReportedUtilization, reportedUtilization));
}

double LoadShedding::capacityOfHosts(const Method& method) const {
  double capacity = 0;
  forEachHost(hosts_, [&](HostId host) {
    if (!hosts_.serving(host) || outliers_.ejected(host)) return;
    capacity += std::floor(std::max(1.0, statistics_.capacity(host, method)));
  });
  return capacity;
}

void LoadShedding::sweep() {
  capacityByMethod_.clear();
  for (const Method& method : context_.settings.methods) capacityByMethod_.push_back(capacityOfHosts(method));
  const bool shedRecently = context_.now - lastShedAt_ <= slotLength();
  if (!shedRecently) notice_.set(false, context_.now, context_.sink);
}

}  // namespace merlinbridge::policy
