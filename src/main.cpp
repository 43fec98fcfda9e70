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

// The daemon from start to exit.
class Daemon {
 public:
  enum class Phase { starting, serving, leaving, finishing, gone };

  Daemon(const orders::Orders& orders, Log& log)
      : log_(log), loop_(log, clock_, orders.step), gate_(loop_, orders) {
    signals_.async_wait([this](const net::Error& error, int) {
      if (!error) enter(Phase::leaving);
      loop_.endTurn();
    });
    log_(Level::info, orders.name, " starts at ", orders.listen, " with ", orders.known.lines.size(),
         " hosts known");
  }

  void run() {
    enter(Phase::serving);
    loop_.endTurn();
    loop_.io.run();
  }

 private:
  // The protocol's: new connections may come for so long after the signal to end.
  static constexpr Span kStillComing = std::chrono::milliseconds(700);

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
        gate_.leave();
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
    if (gate_.quiet()) return enter(Phase::gone);
    loop_.deadlines.add(loop_.now() + kStillComing / 100, [this](Time) { lookWhetherDone(); });
  }

  Log& log_;
  const net::SystemClock clock_;
  net::Loop loop_;
  net::Gate gate_;
  Phase phase_ = Phase::starting;
  net::asio::signal_set signals_{loop_.io, SIGTERM, SIGINT};
};

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

}  // namespace
}  // namespace merlinbridge

int main() {
  using namespace merlinbridge;
  std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more is no reason to end
  Log log(std::cerr, levelWanted());
  try {
    Daemon(ordersGiven(), log).run();
  } catch (const std::exception& e) {
    log(Level::error, "merlinbridge: ", e.what());
    return 1;
  }
}
