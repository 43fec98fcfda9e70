#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy_api/policy_settings.hpp"

namespace merlinbridge {

// How long an attempt may take: it is given up then, and by then its last byte must be on its way, or it
// never is sent (a repeat whose host would no longer know the first).
struct Until {
  Time giveUp, written;
};

// The way out of the decisions: whoever hosts a gateway carries these out.
class Port {
 public:
  virtual ~Port() = default;
  virtual void startAttempt(RequestId, HostId, Until) = 0;
  virtual void cancel(RequestId, AttemptNumber) = 0;
  virtual void reject(RequestId, Span comeBackAfter) = 0;  // final; 0 gives no advice
  virtual void fail(RequestId) = 0;                        // final
  virtual void addToCount(const CountName&, double units, Span keptFor) = 0;
  virtual void wakeAt(Time, TimerId) = 0;
  virtual void probe(HostId) = 0;
  virtual void note(const std::string& line) = 0;
};

struct Request {
  RequestId requestId;
  CustomerId customer;
  PlanId plan;
  MethodId method;
  Time deadline;               // the client gives up on this try
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
  Span took{};
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
  std::optional<Time> started;  // empty: long ago
};

enum class CountEnd { ok, notAdded, unknown };

// One gateway's decisions. Each call is one input; what is decided leaves through the port before it
// returns. Times never go back. Nothing is shared with other gateways.
class Gateway {
 public:
  Gateway(PolicySettings, std::uint64_t seed, Time now, Port&);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void hostsUpdated(Time now, const std::vector<HostUpdate>&);     // the lines that changed
  void allHostsUpdated(Time now, const std::vector<HostUpdate>&);  // all lines: what is missing has gone
  void requestArrived(Time now, const Request&);
  void attemptEnded(Time now, const AttemptResult&);
  void answerStarted(Time now, RequestId, AttemptNumber);  // a streamed answer is the client's from here on
  void clientLeft(Time now, RequestId);
  void counted(Time now, const CountName&, CountEnd, double total, Span took);
  void probed(Time now, HostId, bool ok, const LoadReport&);
  void woken(Time now, TimerId);

 private:
  struct Mind;
  std::unique_ptr<Mind> mind_;
};

}  // namespace merlinbridge
