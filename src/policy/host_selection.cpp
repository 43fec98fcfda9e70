#include "policy/host_selection.hpp"

#include <algorithm>
#include <utility>

namespace merlinbridge::policy {
namespace {

/// Bounds the squared relative speed of a host in its weight: between 1 / kMaxSpeedFactor and
/// kMaxSpeedFactor.
constexpr double kMaxSpeedFactor = 4.0;

}  // namespace

HostSelection::HostSelection(EngineContext& context, const util::HostTable& hosts,
                             const HostStatistics& statistics, const OutlierDetection& outliers,
                             SlowStart& slowStart)
    : context_(context), hosts_(hosts), statistics_(statistics), outliers_(outliers), slowStart_(slowStart) {}

void HostSelection::add(HostId host) {
  if (host.value < credit_.size()) return;
  credit_.resize(host.value + 1);
  needsInitialCredit_.resize(host.value + 1);
}

void HostSelection::reset(HostId host) {
  needsInitialCredit_[host.value] = 1;
}

double HostSelection::weight(HostId host) const {
  const double ramp = slowStart_.rampFactor(host);
  const double speed = statistics_.relativeSpeed(host);
  return ramp * ramp * std::clamp(speed * speed, 1 / kMaxSpeedFactor, kMaxSpeedFactor);
}

bool HostSelection::hasFreeCapacity(HostId host, const Method& method) const {
  const double capacity = std::max(1.0, statistics_.capacity(host, method));
  return statistics_.inFlight(host) + 1 <= capacity;
}

bool HostSelection::isAvailable(HostId host, const Request& request) {
  const Method& method = context_.settings.methods[request.method.value];
  if (outliers_.ejected(host) || statistics_.unresponsive(host)) return false;
  if (!hasFreeCapacity(host, method)) return false;
  const double sendProbability = statistics_.successFraction(host, request.method, request.plan);
  return sendProbability >= 1 || context_.random.bernoulli(sendProbability);
}

void HostSelection::addCandidate(HostId host) {
  const double hostWeight = weight(host);
  double& credit = credit_[host.value];
  const bool needsInitialCredit = std::exchange(needsInitialCredit_[host.value], 0) != 0;
  if (needsInitialCredit) credit = -hosts_.servingCount() * context_.random.uniform01();
  credit += hostWeight;
  totalWeight_ += hostWeight;
  candidates_.push_back(host);
}

std::optional<HostId> HostSelection::select(const Request& request, const HostFilter& allowed) {
  candidates_.clear();
  totalWeight_ = 0;
  slowStart_.countRampedUpHosts();
  forEachHost(hosts_, [&](HostId host) {
    if (hosts_.serving(host) && allowed(host) && isAvailable(host, request)) addCandidate(host);
  });
  return chooseCandidate(request.units);
}

std::vector<HostId>::iterator HostSelection::highestCredit() {
  return std::max_element(candidates_.begin(), candidates_.end(),
                          [this](HostId a, HostId b) { return credit_[a.value] < credit_[b.value]; });
}

std::optional<HostId> HostSelection::chooseCandidate(double units) {
  while (!candidates_.empty()) {
    const auto next = highestCredit();
    const HostId host = *next;
    if (slowStart_.admits(host, units)) {
      credit_[host.value] -= totalWeight_;
      return host;
    }
    // Slow start does not admit the host: undo addCandidate().
    credit_[host.value] -= weight(host);
    totalWeight_ -= weight(host);
    candidates_.erase(next);
  }
  return std::nullopt;
}

}  // namespace merlinbridge::policy
