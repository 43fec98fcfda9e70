// Settings like those of the users' deployments, in the form of the platform's file.
#pragma once

#include <string>

#include "harness.hpp"

namespace review {

/// limits of a small machine: one core, 192 MB, 1,024 descriptors.
inline const std::string kLimits = R"({"cores":1.0,"memory_mb":192,"sockets":1024})";

/// The rules and limits that the deployments share; figures of the site files.
struct Deployment {
  int gateways = 1;
  std::string classes;
  std::string plans;
  double largest = 8;
  bool secondCopies = false;
  int drainGraceMs = 500;
  std::string str() const {
    return text(R"({"siblings":%d,"me":0,"membershipMode":"automatic","requestClasses":[)", gateways) + classes +
           R"(],"tariffs":[)" + plans +
           text(R"(],"familyInfo":{"hasCounter":true,"countLimit":80000,"largest":%g,"usePeriod":500000},)", largest) +
           R"("limits":{"cancel":true,"retryAfter":true,"maxRetryAfter":1000000,"connIdle":30000000,)" +
           text(R"("connectTimeout":250000,"tryLimit":5,"secondCopies":%s},)", secondCopies ? "true" : "false") +
           R"("feedback":{"how":"silent"},"failureDomains":["a","b","c"],"machineTypes":["m1"],)" +
           text(R"("rules":{"answerSlack":4000,"drainGrace":%d,"startCapacity":0.2,"tipMultiple":3,"cold":12000000,"fall":3000000},)",
                drainGraceMs * 1000) +
           R"("step":4000,"zone":0})";
  }
};

/// calendar-read and slot-book as in reykjavik-hq.
inline const std::string kCalendarRead =
    R"({"name":"calendar-read","effect":"free","promise":600000,"hardLimit":2500000,"importance":1})";
inline const std::string kSlotBook =
    R"({"name":"slot-book","effect":"guarded","group":"all","window":4000000,"promise":500000,"hardLimit":2000000,"importance":5})";
inline const std::string kWidePlan = R"({"name":"storplan","unitsPerS":400,"storeSize":400,"price":1.6})";

}  // namespace review
