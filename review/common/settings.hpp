// The settings of a small deployment, as a gateway's configuration has them.
#pragma once

#include "standin.hpp"

namespace standin {

/// One method: `effect` is free, guarded or single_shot; times in milliseconds.
struct Method {
  std::string name, effect;
  int softDeadline, deadline, window;
};

/// One plan without a ceiling that no case presses against, and the rest as in the example of the wire page.
inline std::string smallDeployment(int gateways, int number, const std::vector<Method>& methods) {
  std::string classes;
  for (const Method& method : methods)
    classes += (classes.empty() ? "" : ",") +
               format(
                   R"({"effect":"%s","group":"all","hardLimit":%d,"importance":1.0,"lateWorth":0.0,"name":"%s","promise":%d,"stream":false,"window":%d})",
                   method.effect.c_str(), method.deadline * 1000, method.name.c_str(), method.softDeadline * 1000,
                   method.window * 1000);
  return format(R"({"siblings":%d,"me":%d,"step":4000,"failureDomains":["a","b","c"],"machineTypes":["std"],)", gateways,
                number) +
         R"("membershipMode":"automatic","requestClasses":[)" + classes +
         R"(],"clients":{"marksRetry":true},"familyInfo":{"countLimit":80000,"counterPrice":0.02,"hasCounter":true,"largest":8,"peerIntake":0.0,"truedUp":false,"usePeriod":0},)"
         R"("feedback":{"fields":["outstanding","throughput","backlog"],"how":"piggyback"},)"
         R"("limits":{"cancel":true,"connIdle":30000000,"connectTimeout":250000,"maxOpen":20000,"maxRetryAfter":1000000,"mayProbe":true,"peers":false,"retryAfter":true,"secondCopies":false,"streamsPerConn":100,"tryLimit":5},)"
         R"("rules":{"answerSlack":16000,"askEvery":10000000,"cold":16000000,"drainGrace":500000,"fall":3000000,"startCapacity":0.16,"tipMultiple":3.0},)"
         R"("tariffs":[{"capDepth":0.0,"hardSlack":0.0,"name":"storplan","neverOverRate":0.0,"open":0,"overCost":1.0,"overWorth":0.0,"price":1.6,"storeSize":112.0,"unitsPerS":45.0}],"weights":"silent"})";
}

/// A client's request.
struct Request {
  std::string id, method, account, body, key;
  int deadline = 2000;
  int units = 1, spread = 3;
  std::string text() const {
    const std::string verb = body.empty() ? "GET" : "POST";
    return verb + " /" + method + "/hall HTTP/1.1\r\nHost: api.internal\r\nReq-Id: " + id + "\r\nReq-Kind: " + method +
           "\r\nPlan: storplan\r\nAccount: " + account + "\r\nReq-Deadline-Ms: " + std::to_string(deadline) + "\r\n" +
           (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") +
           format("Quota-Info: units=%d,spread=%d,first=0\r\n", units, spread) +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
  }
};

inline std::string newId() { return format("%016llx", static_cast<unsigned long long>(randomId())); }
inline std::string newAccount() { return format("%016llx", static_cast<unsigned long long>(randomId() % (1ULL << 33))); }

}  // namespace standin
