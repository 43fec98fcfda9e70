#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/endpoint_list.hpp"
#include "gateway_core/name_table.hpp"
#include "policy_api/decision_engine.hpp"

namespace merlinbridge::core {

/// Receives notifications from HostDirectory while it applies updates from discovery. Called on the core's
/// strand; an implementation must not call the directory or the core before it returns.
class HostObserver {
 public:
  virtual ~HostObserver() = default;
  /// The host is draining, is gone, has restarted or has a new address: connections to it lead to a process
  /// that must get no further request.
  virtual void hostUnavailable(HostId) = 0;
  /// A host of the endpoint list is ignored because HostDirectory::kMaxHosts hosts already have an id.
  virtual void endpointTableFull(std::string_view hostName) = 0;
};

/// The hosts that this gateway knows: for each its id, name, address, start time, whether it is gone, and how
/// many attempts to it are in flight.
///
/// Ids are dense, because tables throughout the engine are indexed by them. The id of a removed host is
/// reused for a new one once no attempt to the removed host is in flight and no request that knew it can
/// still exist. The tables therefore stay bounded while hosts come and go. Without I/O; not thread-safe.
class HostDirectory {
 public:
  /// How many hosts may have an id at once, including removed hosts whose id has not been reused.
  static constexpr std::size_t kMaxHosts = 4096;
  /// How long the id of a removed host stays reserved, in multiples of the longest request deadline. A
  /// request that could refer to the removed host has ended by then.
  static constexpr int kIdReuseDelayInDeadlines = 2;

  /// `longestDeadline` is the longest request deadline of any method. The observer must outlive the
  /// directory.
  HostDirectory(Duration longestDeadline, HostObserver& observer)
      : idReuseDelay_(kIdReuseDelayInDeadlines * longestDeadline), observer_(observer) {}

  /// Applies one entry of an endpoint list. Assigns an id to a new host, and notifies the observer of a host
  /// whose idle connections can no longer be used. Returns nothing if the host gets no id: it is gone and was
  /// never known, or the directory is full, in which case the observer is notified.
  std::optional<HostId> update(TimePoint now, const config::Endpoint&);
  /// Marks all hosts as gone that are not in `listed`, the hosts of a complete list. Notifies the observer of
  /// each that was not gone before, in ascending order of ids.
  void markUnlistedGone(TimePoint now, const std::vector<HostUpdate>& listed);

  /// Counts an attempt to the host as in flight until attemptEnded() is called for it.
  void attemptStarted(HostId host) { ++hosts_[host.value].attemptsInFlight; }
  void attemptEnded(HostId host) { --hosts_[host.value].attemptsInFlight; }

  /// How often the host has become unavailable: a connection or an attempt begun before the last time leads
  /// to a process that must get no further request.
  std::uint32_t incarnationOf(HostId host) const { return hosts_[host.value].incarnation; }
  /// All assigned ids are below this number.
  std::size_t size() const { return hosts_.size(); }
  /// Address as "10.0.0.4:8080"; empty if discovery named none. Valid until the next update.
  const std::string& addressOf(HostId host) const { return hosts_[host.value].address; }
  /// The host's name in discovery. Valid until the next update.
  const std::string& nameOf(HostId host) const { return names_.nameOf(host); }

 private:
  enum class Presence : std::uint8_t { listed, gone };
  struct Host {
    std::string address;
    Duration startedAt{};  ///< Since the clock's origin; changes with a restart. 0: long ago.
    Presence presence = Presence::listed;
    TimePoint goneAt{};  ///< When `presence` last changed; read only while the host is gone.
    std::uint32_t attemptsInFlight = 0;
    std::uint32_t incarnation = 0;
  };

  std::optional<HostId> findOrAdd(TimePoint now, const config::Endpoint&);
  std::optional<HostId> findReusableId(TimePoint now) const;
  void markUnavailable(HostId);
  void reuseId(HostId, const config::Endpoint&);
  static void setPresence(Host&, Presence, TimePoint now);

  const Duration idReuseDelay_;
  HostObserver& observer_;
  NameTable<HostId> names_;
  std::vector<Host> hosts_;  ///< Indexed by HostId.
};

}  // namespace merlinbridge::core
