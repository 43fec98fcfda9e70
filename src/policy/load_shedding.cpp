#include "policy/load_shedding.hpp"

#include <algorithm>
#include <cmath>

#include "policy/count_slot.hpp"

namespace merlinbridge::policy {
namespace {

constexpr double kShedFrom = 0.6;       // utilization from which the least priority is shed
constexpr double kReportSeconds = 4.5;  // time constant of load reports
constexpr double kReportWeight = 2.0;   // of the hosts' reports, against 1 for what is seen here
constexpr double kMaxReported = 2.0;    // utilization that one report counts for at most
constexpr double kMinRate = 1e-3;       // answers per second

}  // namespace

LoadShedding::LoadShedding(EngineContext& context, const util::HostTable& hosts,
                           const HostStatistics& statistics, const OutlierDetection& outliers)
    : context_(context),
      hosts_(hosts),
      statistics_(statistics),
      outliers_(outliers),
      notice_(EngineEvent::loadSheddingStarted, EngineEvent::loadSheddingStopped, slotLength()) {}

double LoadShedding::utilization(MethodId method) const {
  const double hosts = hosts_.servingCount() / double(context_.settings.gateways);
  const double total = statistics_.totalCapacity(context_.settings.methods[method.value], hosts);
  const double capacity = capacity_.empty() ? total : std::min(total, capacity_[method.value]);
  const double own = capacity > 0 ? statistics_.inFlight() / capacity : 0;
  const double reports = reports_.read(context_.now, kReportSeconds);
  if (reports < 1) return own;
  const double reported = kReportWeight * reportedLoad_.read(context_.now, kReportSeconds) / reports;
  return (own + reported) / (1 + kReportWeight);
}

double LoadShedding::priority(const Request& request) const {
  const PolicySettings& settings = context_.settings;
  double highest = 0;
  for (const Method& method : settings.methods)
    for (const Plan& plan : settings.plans) highest = std::max(highest, method.utility * plan.price);
  const double own =
      settings.methods[request.method.value].utility * settings.plans[request.plan.value].price;
  return highest > 0 ? own / highest : 1;
}

bool LoadShedding::admits(const Request& request) const {
  return utilization(request.method) < kShedFrom + (1 - kShedFrom) * priority(request);
}

void LoadShedding::recordShed() {
  lastShedAt_ = context_.now;
  notice_.set(true, context_.now, context_.sink);
}

void LoadShedding::recordLoad(const LoadReport& load, const Method& method) {
  const double held = std::max(0.0, *load.inFlight), rate = std::max(kMinRate, *load.answersPerSecond);
  const double reported = held / HostStatistics::reportedCapacity(rate, method);
  reports_.add(context_.now, kReportSeconds, 1);
  reportedLoad_.add(context_.now, kReportSeconds, std::min(kMaxReported, reported));
}

void LoadShedding::sweep() {
  const auto& methods = context_.settings.methods;
  capacity_.assign(methods.size(), 0);
  forEachHost(hosts_, [&](HostId host) {
    if (!hosts_.serving(host) || outliers_.ejected(host)) return;
    for (std::size_t m = 0; m < methods.size(); ++m)
      capacity_[m] += std::floor(std::max(1.0, statistics_.capacity(host, methods[m])));
  });
  if (context_.now - lastShedAt_ > slotLength()) notice_.set(false, context_.now, context_.sink);
}

}  // namespace merlinbridge::policy
