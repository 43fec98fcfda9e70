#include "policy/host_identity.hpp"

namespace merlinbridge::policy {
namespace {

/// A change counts as announced this long after discovery had it, whether its announcement has arrived or
/// not. A host whose connection broke and that was not announced anew by then is still the same one.
constexpr Duration kAnnouncementBound = std::chrono::seconds(6);

}  // namespace

void HostIdentity::add(HostId host) {
  if (host.value >= uncertainUntil_.size()) uncertainUntil_.resize(host.value + 1);
}

void HostIdentity::recordBroken(HostId host) {
  uncertainUntil_[host.value] = context_.now + kAnnouncementBound;
}

}  // namespace merlinbridge::policy
