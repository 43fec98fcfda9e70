#pragma once

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "gateway_under_test.hpp"

/// \file
/// Discovery whose responses take as long and end as a test states.
namespace merlinbridge::testing {

/// How discovery answers one call.
struct DiscoveryAnswer {
  enum class Kind { list, rejection, none };
  /// What follows half of a list.
  enum class Then {
    rest,
    silence,
    heartbeats,      ///< An empty line every 2 s.
    blankLines,      ///< An empty line at each step.
    endlessString,   ///< A string that grows at each step and never ends.
    endlessEntries,  ///< One more entry at each step.
    reset            ///< The connection is reset.
  };

  Kind kind = Kind::list;
  Duration headTakes{0};  ///< The head arrives evenly over this time, and the list after it.
  Duration listTakes{0};
  Then then = Then::rest;
  bool rejectsWatches = false;  ///< Only polls are answered so.
};

/// Discovery that answers call by call. The list has the gateway's host "h1" and others. A watch whose
/// list is complete gets heartbeats.
class ScriptedDiscovery {
 public:
  /// `answers`: those of the first calls; the last one serves all further calls. The gateway must have been
  /// given the address of `listener`. `otherHosts`: hosts in the list besides "h1".
  ScriptedDiscovery(GatewayUnderTest& gateway, PeerListener& listener, std::vector<DiscoveryAnswer> answers,
                    int otherHosts = 20)
      : gateway_(gateway), listener_(listener), answers_(std::move(answers)), otherHosts_(otherHosts) {}

  /// Sets the state of "h1" under a new generation; "in_service" at first. Watches that have their list get
  /// the change as `answer` says.
  void publish(const std::string& state, const DiscoveryAnswer& answer = {});
  /// Lets time pass, and sends what is due.
  void run(Duration span);
  /// Runs until "h1" gets no more requests because it is draining. Returns how long that took by the
  /// gateway's clock, `limit` if it has not happened by then.
  Duration runUntilDraining(Duration limit);

  std::size_t callCount() const { return calls_.size(); }
  /// Calls whose connection the gateway has not closed.
  std::size_t openCount();
  /// Whether the call's request holds `text`. Calls are counted from 0.
  bool asked(std::size_t call, const std::string& text);

 private:
  struct Call {
    TestPeer peer;
    DiscoveryAnswer answer;
    std::string bytes{};  ///< All of the response that is sent evenly. Empty until the request has arrived.
    std::size_t headBytes = 0;
    std::size_t sentBytes = 0;
    TimePoint startedAt{};
    TimePoint lastSentAt{};
    bool isWatch = false;
    bool isDone = false;  ///< Nothing more is sent.
  };

  bool hostGetsRequest();
  void step();
  void serve(Call& call);
  bool begin(Call& call);
  void sendDue(Call& call);
  void sendMore(Call& call);
  std::size_t dueBytes(const Call& call) const;
  std::string entries(int count) const;
  std::string listText(const DiscoveryAnswer& answer, const std::string& reset) const;

  GatewayUnderTest& gateway_;
  PeerListener& listener_;
  std::vector<DiscoveryAnswer> answers_;
  int otherHosts_;
  std::list<Call> calls_;
  std::list<TestPeer> hostConnections_;
  std::string state_ = "in_service";
  int generation_ = 42;
};

}  // namespace merlinbridge::testing
