#include <catch2/catch.hpp>

#include "policy/concurrency_limit.hpp"
#include "policy/count_slot.hpp"
#include "policy/hard_ceiling.hpp"
#include "policy/quota_bucket.hpp"
#include "policy_fixture.hpp"

using namespace merlinbridge;
using namespace merlinbridge::policy;
using namespace merlinbridge::policy::testing;

namespace {

constexpr double kLookBackSeconds = 0.8;

/// A quota of 4 units per second with a burst of 12, and no other limit.
const Plan kQuotaPlan{4, 12, 0, 0, 0, 0, 1};

struct BucketFixture {
  explicit BucketFixture(double gateways) : bucket(kQuotaPlan, gateways, 4, kLookBackSeconds, kStart) {}
  /// Tries requests that cost one unit each. Spends the units of the admitted ones and returns their number.
  int countAdmitted(int requests) {
    int count = 0;
    for (int i = 0; i < requests; ++i) {
      if (!bucket.admits(now, 1, random)) continue;
      bucket.spend(1);
      ++count;
    }
    return count;
  }
  /// Publishes the usage and applies `total` as the new total of the count.
  void endRound(double total) {
    const double units = bucket.takeUnpublished();
    bucket.refill(now);
    bucket.applyTotal(now, slotAt(now), units, total);
  }
  util::RandomSource random{1};
  TimePoint now = kStart;
  QuotaBucket bucket;
};

}  // namespace

TEST_CASE("quota bucket: before the first total, the copy holds this gateway's part of the burst") {
  BucketFixture fixture(3);
  CHECK(fixture.bucket.quotaFraction() == Approx(1.0 / 3));
  CHECK(fixture.countAdmitted(12) == 4);
}

TEST_CASE("quota bucket: a customer's first request is admitted even if it exceeds this gateway's part") {
  BucketFixture fixture(60);
  CHECK(fixture.countAdmitted(1) == 1);
  CHECK_FALSE(BucketFixture(1).bucket.admits(kStart, 13, fixture.random));  // more than the burst
}

TEST_CASE("quota bucket: what may not be admitted in advance is admitted by no draw") {
  const double gateways = GENERATE(1.0, 3.0);
  const double total = GENERATE(-1.0, 4.0, 12.0, 30.0);  // below 0: no total has come
  BucketFixture fixture(gateways);
  int refusedInAdvance = 0;
  for (int count = 0; count < 60; ++count) {
    fixture.now += std::chrono::milliseconds(count * 7 % 50);
    fixture.bucket.refill(fixture.now);
    const bool mayAdmit = fixture.bucket.mayAdmit(fixture.now, 1);
    const bool admitted = fixture.bucket.admits(fixture.now, 1, fixture.random);
    CHECK((mayAdmit || !admitted));
    if (admitted) fixture.bucket.spend(1);
    refusedInAdvance += !mayAdmit;
    if (count == 10 && total >= 0) fixture.endRound(total);
  }
  CHECK(refusedInAdvance > 0);
}

TEST_CASE("quota bucket: a total makes the copy shared and subtracts the other gateways' usage") {
  BucketFixture fixture(3);
  fixture.countAdmitted(2);
  fixture.endRound(8);  // of which 6 by other gateways
  CHECK(fixture.bucket.quotaFraction() == 1);
  CHECK(fixture.bucket.othersRate() > 0);
  // 12 - 8 units are left. This gateway's slice of them is between an equal third and its share of the usage.
  const int admitted = fixture.countAdmitted(12);
  CHECK(admitted >= 1);
  CHECK(admitted <= 2);
}

TEST_CASE(
    "quota bucket: a divided copy is limited to its part and publishes only usage that has not refilled") {
  BucketFixture fixture(3);
  fixture.endRound(0);
  fixture.countAdmitted(4);
  fixture.bucket.divide();
  CHECK(fixture.bucket.isDivided());
  CHECK(fixture.bucket.quotaFraction() == Approx(1.0 / 3));
  fixture.now += 60s;
  fixture.bucket.refill(fixture.now);
  CHECK(fixture.bucket.takeUnpublished() == 0);  // its part is full again
  fixture.endRound(0);
  CHECK_FALSE(fixture.bucket.isDivided());
}

TEST_CASE("quota bucket: the units of a failed call are published with the next call") {
  BucketFixture fixture(3);
  fixture.countAdmitted(3);
  CHECK(fixture.bucket.takeUnpublished() == 3);
  CHECK(fixture.bucket.takeUnpublished() == 0);
  fixture.bucket.returnUnpublished(3);
  fixture.bucket.correct(0.5);  // one request cost more than was spent
  CHECK(fixture.bucket.takeUnpublished() == 3.5);
}

TEST_CASE("quota bucket: a count that the counter service lost does not grant a new burst") {
  BucketFixture fixture(1);
  fixture.endRound(0);
  fixture.countAdmitted(12);
  fixture.endRound(12);
  CHECK(fixture.countAdmitted(1) == 0);
  fixture.endRound(0);
  CHECK(fixture.countAdmitted(1) == 0);
}

TEST_CASE(
    "quota bucket: it refills at the plan's rate and returns the seconds until enough units are available") {
  BucketFixture fixture(1);
  fixture.endRound(0);
  fixture.countAdmitted(12);
  CHECK(fixture.bucket.secondsUntil(2) == Approx(0.5));
  fixture.now += 500ms;
  fixture.bucket.refill(fixture.now);
  CHECK(fixture.bucket.secondsUntil(2) == Approx(0));
}

TEST_CASE("hard ceiling: it starts at its lowest level and refills from the start of the process") {
  const Plan plan{0, 0, 0, 40, 60, 8, 1};
  HardCeiling ceiling(plan, 2, kStart);
  CHECK_FALSE(ceiling.admits(1));
  CHECK(ceiling.secondsUntil(1) == Approx(5.0 * 2 / 40));  // 20 per second here, from a level of -4
  ceiling.refill(kStart + 1s);
  CHECK(ceiling.admits(20));
  CHECK_FALSE(ceiling.admits(21));
  ceiling.spend(20);
  CHECK_FALSE(ceiling.admits(1));
  ceiling.refill(kStart + 100s);
  CHECK(ceiling.admits(34));  // this gateway's part of the burst and of the slack
  CHECK_FALSE(ceiling.admits(35));
}

TEST_CASE("hard ceiling: a plan without a ceiling admits every request") {
  HardCeiling ceiling(kQuotaPlan, 3, kStart);
  CHECK(ceiling.admits(1e6));
}

TEST_CASE(
    "concurrency limit: it admits as many attempts as the limit minus those in flight at all gateways") {
  const Plan plan{0, 0, 2, 0, 0, 0, 1};
  util::RandomSource random(1);
  ConcurrencyLimit limit(plan, 3);
  CHECK(ConcurrencyLimit::publishesUsage(plan));
  CHECK(limit.admits(1, 0, random));
  limit.attemptStarted();
  limit.attemptStarted();
  CHECK_FALSE(limit.admits(1, 0, random));
  limit.attemptEnded();
  CHECK(limit.admits(1, 0, random));
  CHECK_FALSE(limit.admits(1, 1, random));        // the other gateways have one in flight
  CHECK_FALSE(limit.admits(1.0 / 3, 0, random));  // without knowledge of the others, one is allowed
  limit.attemptEnded();
  CHECK(limit.idle());
  CHECK(limit.admits(1.0 / 3, 0, random));
}

TEST_CASE("concurrency limit: a plan without a limit admits every request and takes no random number") {
  util::RandomSource random(1);
  util::RandomSource untouched(1);
  const ConcurrencyLimit limit(kQuotaPlan, 3);
  CHECK(limit.admits(1, 100, random));
  CHECK(random.uniform01() == untouched.uniform01());
}
