#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy_api/policy_settings.hpp"

namespace merlinbridge {

// How long an attempt may take: it is given up then, and by then its last byte must be on its way, or it
// never is sent (a repeat whose host would no longer know the first).
struct AttemptDeadline {
  TimePoint abandonAt, writeBy;
};

// The way out of the decisions: whoever hosts a gateway carries these out.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  virtual void startAttempt(RequestId, HostId, AttemptDeadline) = 0;
  virtual void cancel(RequestId, AttemptNumber) = 0;
  virtual void reject(RequestId, Duration comeBackAfter) = 0;  // final; 0 gives no advice
  virtual void fail(RequestId) = 0;                            // final
  virtual void addToCount(const CountName&, double units, Duration keptFor) = 0;
  virtual void wakeAt(TimePoint, TimerId) = 0;
  virtual void probe(HostId) = 0;
  virtual void note(const std::string& line) = 0;
};

struct Request {
  RequestId requestId;
  CustomerId customer;
  PlanId plan;
  MethodId method;
  TimePoint deadline;          // the client gives up on this try
  double units = 0;            // a guess where they are settled after the answer
  std::uint32_t gateways = 1;  // through which the customer's requests come
  bool marked = true;          // bears what a repeat of a deduplicated method is known by
};

enum class Outcome { ok, error, rejected, noAnswer, noConnection, lost, cancelled, notSent };

struct LoadReport {
  std::optional<double> held, queued, serviceSeconds, perSecond, busy;
};

struct AttemptResult {
  RequestId requestId;
  AttemptNumber no;
  HostId host;
  Outcome outcome = Outcome::notSent;
  bool closed = false;  // the request has had its final answer
  Duration took{};
  double trueUnits = 0;  // 0: not told
  LoadReport load;
};

struct HostUpdate {
  HostId host;
  ZoneId zone;
  CellId cell;
  MachineId machine;
  bool serving = false;  // false: draining or gone
  double weight = 1;
  std::optional<TimePoint> started;  // empty: long ago
};

enum class CountEnd { ok, notAdded, unknown };

// One gateway's decisions. Each call is one input; what is decided leaves through the port before it
// returns. Times never go back. Nothing is shared with other gateways.
class DecisionEngine {
 public:
  DecisionEngine(PolicySettings, std::uint64_t seed, TimePoint now, DecisionSink&);
  ~DecisionEngine();
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;

  void hostsUpdated(TimePoint now, const std::vector<HostUpdate>&);     // the lines that changed
  void allHostsUpdated(TimePoint now, const std::vector<HostUpdate>&);  // all lines: what is missing has gone
  void requestArrived(TimePoint now, const Request&);
  void attemptEnded(TimePoint now, const AttemptResult&);
  void answerStarted(TimePoint now, RequestId,
                     AttemptNumber);  // a streamed answer is the client's from here on
  void clientLeft(TimePoint now, RequestId);
  void counted(TimePoint now, const CountName&, CountEnd, double total, Duration took);
  void probed(TimePoint now, HostId, bool ok, const LoadReport&);
  void woken(TimePoint now, TimerId);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace merlinbridge
