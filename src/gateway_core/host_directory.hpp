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

/// Is notified of what HostDirectory finds while it applies discovery's updates. Called on the core's strand;
/// an implementation must not call the directory or the core before it returns.
class HostObserver {
 public:
  virtual ~HostObserver() = default;
  /// The host drains, is gone, has restarted or has a new address: idle connections to it may be closed.
  virtual void hostUnavailable(HostId) = 0;
  /// A host of the endpoint list is ignored: HostDirectory::kMaxHosts hosts have a number already.
  virtual void endpointTableFull(std::string_view hostName) = 0;
};

/// The hosts that this gateway knows: number (HostId), name, address, incarnation, whether the host is gone,
/// and how many attempts to it are in flight.
///
/// Numbers are dense and index tables throughout the engine. The number of a removed host is given to a new
/// one once no attempt to the removed host is in flight and no request that knew it can still exist, so that
/// the tables stay bounded while hosts come and go. Without I/O; not thread-safe.
class HostDirectory {
 public:
  /// How many hosts may have a number at once, gone ones included.
  static constexpr std::size_t kMaxHosts = 4096;
  /// How long the number of a removed host stays reserved, in multiples of the longest request deadline. A
  /// request that could name the removed host has ended by then.
  static constexpr int kIdReuseDelayInDeadlines = 2;

  /// `longestDeadline` is that of all methods. The observer must outlive the directory.
  HostDirectory(Duration longestDeadline, HostObserver& observer)
      : idReuseDelay_(kIdReuseDelayInDeadlines * longestDeadline), observer_(observer) {}

  /// Applies one entry of an endpoint list. Assigns a number to a host that is new, and notifies the observer
  /// of a host whose idle connections are of no more use. Returns nothing if the host gets no number: it is
  /// gone and was never known, or the directory is full (the observer is notified then).
  std::optional<HostId> update(TimePoint now, const config::Endpoint&);
  /// Marks every host as gone that `listed`, the hosts of a complete list, does not name, and notifies the
  /// observer of each that was not gone before, in the order of the numbers.
  void removeUnlisted(TimePoint now, const std::vector<HostUpdate>& listed);

  /// Counts an attempt to the host as in flight until attemptEnded().
  void attemptStarted(HostId host) { ++hosts_[host.value].attemptsInFlight; }
  void attemptEnded(HostId host) { --hosts_[host.value].attemptsInFlight; }

  /// All numbers given out are below this one.
  std::size_t size() const { return hosts_.size(); }
  /// Address as "10.0.0.4:8080"; empty if discovery named none. Valid until the next update.
  const std::string& addressOf(HostId host) const { return hosts_[host.value].address; }
  /// Discovery's name of the host. Valid until the next update.
  const std::string& nameOf(HostId host) const { return names_.nameOf(host); }

 private:
  enum class Presence : std::uint8_t { listed, gone };
  struct Host {
    std::string address;
    Duration startedAt{};  ///< Since the clock's origin; names the incarnation. 0: long ago.
    Presence presence = Presence::listed;
    TimePoint goneAt{};  ///< When `presence` last changed; read only while the host is gone.
    std::uint32_t attemptsInFlight = 0;
  };

  std::optional<HostId> findOrAdd(TimePoint now, const config::Endpoint&);
  std::optional<HostId> findReusableId(TimePoint now) const;
  void reuseId(HostId, const config::Endpoint&);
  static void setPresence(Host&, Presence, TimePoint now);

  const Duration idReuseDelay_;
  HostObserver& observer_;
  NameTable<HostId> names_;
  std::vector<Host> hosts_;  ///< By HostId.
};

}  // namespace merlinbridge::core
