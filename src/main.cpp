#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include "net/gate.hpp"
#include "orders/orders.hpp"

namespace merlinbridge {
namespace {

Level levelWanted() {
  const char* const text = std::getenv("GW_LOG_LEVEL");
  const std::string_view wanted = text ? text : "info";
  if (wanted == "debug") return Level::debug;
  if (wanted == "warning") return Level::warning;
  if (wanted == "error") return Level::error;
  return Level::info;
}

orders::Orders ordersGiven() {
  const char* const path = std::getenv("GW_CONFIG");
  if (!path) throw orders::BadInput("GW_CONFIG is not set");
  std::ifstream file(path);
  if (!file) throw orders::BadInput(std::string("cannot read ") + path);
  std::ostringstream text;
  text << file.rdbuf();
  return orders::readOrders(std::move(text).str());
}

// The daemon from start to exit.
class Daemon {
 public:
  enum class Phase { starting, serving, leaving, finishing, gone };

  // The signals are caught before the file is read, and heard once it is served: guards against one that
  // comes in between, whose default would end the process.
  explicit Daemon(Log& log) : log_(log), loop_(log, clock_), gate_(loop_, begin()) {
    ends_.async_wait([this](const net::Error& error, int) {
      if (!error) enter(Phase::leaving);
      loop_.endTurn();
    });
    hearHangUps();
  }

  void run() {
    enter(Phase::serving);
    loop_.endTurn();
    loop_.io.run();
  }

 private:
  // The protocol's: new connections may come for so long after the signal to end.
  static constexpr Span kStillComing = std::chrono::milliseconds(700);
  // The protocol's, too: the process may be killed when the longest deadline is over after that, or this if
  // it is longer; and what of it is left for writing the last answers.
  static constexpr Span kLongestKept = std::chrono::seconds(3), kSpared = std::chrono::milliseconds(150);
  // A file that cannot be read may be half written: it is read again after so long, each wait twice the one
  // before, so many times. All of it is over well before what it names counts as told.
  static constexpr Span kFirstLook = std::chrono::milliseconds(50);
  static constexpr int kLooks = 5;
  static constexpr Span kOneLineIn = std::chrono::seconds(10);

  orders::Orders begin() {
    orders::Orders orders = ordersGiven();
    loop_.rideFor(orders.step);
    longestDeadline_ = orders.longestDeadline;
    log_(Level::info, orders.name, " starts at ", orders.listen, " with ", orders.known.lines.size(),
         " hosts known");
    return orders;
  }

  void hearHangUps() {
    hangUps_.async_wait([this](const net::Error& error, int) {
      if (!error) {
        if (look_.second) loop_.deadlines.drop(look_);
        readAgain(0);
        hearHangUps();
      }
      loop_.endTurn();
    });
  }

  // Only where discovery and the counter are can change while it serves; all else holds from the next start
  // on.
  void readAgain(int looks) {
    look_ = {};
    try {
      const orders::Orders orders = ordersGiven();
      gate_.moveTo(orders.discovery, orders.counter);
      log_(Level::info, "orders read again: discovery at ", orders.discovery, ", counter at ",
           orders.counter.empty() ? "none" : orders.counter);
    } catch (const std::runtime_error& e) {
      keepOut(looks, e.what());
    } catch (const std::invalid_argument& e) {
      keepOut(looks, e.what());
    }
  }

  void keepOut(int looks, std::string_view why) {
    const Time now = loop_.now();
    const bool tell = looks == 0 && (keptOutAt_ == Time{} || now - keptOutAt_ >= kOneLineIn);
    if (tell) keptOutAt_ = now;
    log_(tell ? Level::warning : Level::debug, "orders not taken, the old ones stay in force: ", why);
    if (looks < kLooks)
      look_ =
          loop_.deadlines.add(now + kFirstLook * (1 << looks), [this, looks](Time) { readAgain(looks + 1); });
  }

  void enter(Phase phase) {
    if (phase <= phase_) return;
    phase_ = phase;
    switch (phase) {
      case Phase::starting:
        break;
      case Phase::serving:
        gate_.serve();
        log_(Level::info, "ready");
        break;
      case Phase::leaving:
        gate_.leave(loop_.now() + kStillComing + std::min(longestDeadline_, kLongestKept) - kSpared);
        log_(Level::info, "told to end: not ready, still answering");
        loop_.deadlines.add(loop_.now() + kStillComing, [this](Time) { enter(Phase::finishing); });
        break;
      case Phase::finishing:
        gate_.stopAccepting();
        log_(Level::info, "accepts no more, RPCs still to answer: ", gate_.unanswered());
        lookWhetherDone();
        break;
      case Phase::gone:
        log_(Level::info, "ends");
        loop_.io.stop();
        break;
    }
  }

  void lookWhetherDone() {
    // Clients that have their last answer get a moment to read it and close.
    if (!gate_.quiet()) {
      quietSince_ = Time::max();
    } else {
      quietSince_ = std::min(quietSince_, loop_.now());
      if (gate_.parted() || loop_.now() - quietSince_ >= kSpared / 2) return enter(Phase::gone);
    }
    loop_.deadlines.add(loop_.now() + kStillComing / 100, [this](Time) { lookWhetherDone(); });
  }

  Log& log_;
  const net::SystemClock clock_;
  Span longestDeadline_{};
  net::Loop loop_;
  net::asio::signal_set ends_{loop_.io, SIGTERM, SIGINT}, hangUps_{loop_.io, SIGHUP};
  net::Gate gate_;
  Phase phase_ = Phase::starting;
  front::Deadlines::Ticket look_{};
  Time keptOutAt_{}, quietSince_ = Time::max();
};

}  // namespace
}  // namespace merlinbridge

int main() {
  using namespace merlinbridge;
  std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more is no reason to end
  Log log(std::cerr, levelWanted());
  try {
    Daemon(log).run();
  } catch (const std::exception& e) {
    log(Level::error, "merlinbridge: ", e.what());
    return 1;
  }
}
