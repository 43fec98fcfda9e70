#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include "config/gateway_config.hpp"
#include "config/operator_config.hpp"
#include "config/toml_table.hpp"
#include "net/server.hpp"

namespace merlinbridge {
namespace {

// Exit codes.
enum { kDone = 0, kFailed = 1, kUnfit = 2 };

std::string textOf(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw config::ConfigError("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

std::string settingOf(const char* name) {
  const char* const text = std::getenv(name);
  return text ? text : "";
}

// Where it is told what: the words of the command line come before the environment.
struct Told {
  std::string config = settingOf("GW_CONFIG"), own = settingOf("GW_OWN");

  config::GatewayConfig readGatewayConfig() const {
    if (config.empty()) throw config::ConfigError("GW_CONFIG is not set");
    return config::readGatewayConfig(textOf(config));
  }
  config::OperatorConfig readOperatorConfig() const {
    config::OperatorConfig read =
        own.empty() ? config::OperatorConfig{} : config::readOperatorConfig(textOf(own), own);
    const std::string level = settingOf("GW_LOG_LEVEL");
    if (level == "debug") read.level = Level::debug;
    if (level == "info") read.level = Level::info;
    if (level == "warning") read.level = Level::warning;
    if (level == "error") read.level = Level::error;
    return read;
  }
};

// The daemon from start to exit.
class Daemon {
 public:
  enum class Phase { starting, serving, leaving, finishing, gone };

  // The signals are caught before the file is read, and heard once it is served: guards against one that
  // comes in between, whose default would end the process.
  Daemon(const Told& told, const config::OperatorConfig& own, Log& log)
      : told_(told), own_(own), log_(log), loop_(log, clock_), server_(loop_, begin()) {
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
  // Of the time until it may be killed: what is left for writing the last answers.
  static constexpr Duration kSpared = std::chrono::milliseconds(150);
  // A file that cannot be read may be half written: it is read again after so long, each wait twice the one
  // before, so many times as the operators say. All of it is over well before what it names counts as told.
  static constexpr Duration kFirstLook = std::chrono::milliseconds(50);
  static constexpr Duration kOneLineIn = std::chrono::seconds(10);

  config::GatewayConfig begin() {
    config::GatewayConfig config = told_.readGatewayConfig();
    loop_.coalesceTimersWithin(config.step);
    longestDeadline_ = config.longestDeadline;
    log_(Level::info, "started", config.name, " starts at ", config.listen, " with ",
         config.known.entries.size(), " hosts known");
    return config;
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
      const config::GatewayConfig config = told_.readGatewayConfig();
      server_.moveTo(config.discovery, config.counter);
      log_(Level::info, "orders_taken", "configuration read again: discovery at ", config.discovery,
           ", counter at ", config.counter.empty() ? "none" : config.counter);
    } catch (const std::runtime_error& e) {
      keepOut(looks, e.what());
    } catch (const std::invalid_argument& e) {
      keepOut(looks, e.what());
    }
  }

  void keepOut(int looks, std::string_view why) {
    const TimePoint now = loop_.now();
    const bool tell = looks == 0 && (keptOutAt_ == TimePoint{} || now - keptOutAt_ >= kOneLineIn);
    if (tell) keptOutAt_ = now;
    log_(tell ? Level::warning : Level::debug, "orders_kept_out",
         "configuration not taken, the old ones stay in force: ", why);
    if (looks < own_.looks)
      look_ = loop_.deadlines.add(now + kFirstLook * (1 << looks),
                                  [this, looks](TimePoint) { readAgain(looks + 1); });
  }

  void enter(Phase phase) {
    if (phase <= phase_) return;
    phase_ = phase;
    switch (phase) {
      case Phase::starting:
        break;
      case Phase::serving:
        server_.serve();
        log_(Level::info, "ready", "ready");
        break;
      case Phase::leaving:
        answersBy_ =
            loop_.now() + std::max(own_.stillComing,
                                   std::min(own_.stillComing + longestDeadline_, own_.mostLife) - kSpared);
        server_.leave(answersBy_);
        log_(Level::info, "leaving", "told to end: not ready, still answering");
        loop_.deadlines.add(loop_.now() + own_.stillComing, [this](TimePoint) { enter(Phase::finishing); });
        break;
      case Phase::finishing:
        server_.closeIdle();
        log_(Level::info, "finishing", "ends what rests, requests still to answer: ", server_.unanswered());
        lookWhetherDone();
        break;
      case Phase::gone:
        server_.discard();
        log_(Level::info, "ended", "ends");
        loop_.io.stop();
        break;
    }
  }

  void lookWhetherDone() {
    // Guards against a client that never reads, rests for ever or stops in the middle of a request: it may be
    // killed soon. Whoever has its last answer gets a moment to read it and close, and who comes meanwhile is
    // taken.
    const TimePoint now = loop_.now();
    if (now >= answersBy_ + kSpared / 3) return enter(Phase::gone);
    server_.closeIdle(kSpared / 3);
    quietSince_ = server_.quiet() ? std::min(quietSince_, now) : TimePoint::max();
    if (server_.quiet() && (server_.allClosed() || now - quietSince_ >= 2 * kSpared) && server_.shut())
      return enter(Phase::gone);
    loop_.deadlines.add(loop_.now() + kSpared / 20, [this](TimePoint) { lookWhetherDone(); });
  }

  const Told& told_;
  const config::OperatorConfig own_;
  Log& log_;
  const net::SystemClock clock_;
  Duration longestDeadline_{};
  net::EventLoop loop_;
  net::asio::signal_set ends_{loop_.io, SIGTERM, SIGINT}, hangUps_{loop_.io, SIGHUP};
  net::Server server_;
  Phase phase_ = Phase::starting;
  core::DeadlineQueue::Ticket look_{};
  TimePoint keptOutAt_{}, quietSince_ = TimePoint::max(), answersBy_{};
};

int serve(const Told& told) {
  Log log(std::cerr, Level::info);
  try {
    const config::OperatorConfig own = told.readOperatorConfig();
    log.use(own.level, own.form);
    Daemon(told, own, log).run();
    return kDone;
  } catch (const config::ConfigError& e) {
    log(Level::error, "orders_bad", "merlinbridge: ", e.what());
    return kUnfit;
  } catch (const config::TomlError& e) {
    log(Level::error, "own_bad", "merlinbridge: ", e.what());
    return kUnfit;
  } catch (const std::invalid_argument& e) {
    log(Level::error, "orders_bad", "merlinbridge: ", e.what());
    return kUnfit;
  } catch (const std::exception& e) {
    log(Level::error, "failed", "merlinbridge: ", e.what());
    return kFailed;
  }
}

// Says of each file whether it could be served, and starts nothing.
int check(const Told& told) {
  int worst = kDone;
  const auto look = [&worst](const std::string& what, const auto& read) {
    try {
      std::cout << what << ": " << read() << '\n';
    } catch (const std::exception& e) {
      std::cout << what << ": " << e.what() << '\n';
      worst = kUnfit;
    }
  };
  look("own", [&told] {
    told.readOperatorConfig();
    return told.own.empty() ? std::string("none, all as it is without") : "fit";
  });
  look("configuration", [&told] {
    const config::GatewayConfig config = told.readGatewayConfig();
    net::parseAddress(config.listen), net::parseAddress(config.discovery);
    if (!config.counter.empty()) net::parseAddress(config.counter);
    return fmt::format("fit: {} hosts known, {} methods, {} plans, {} gateways", config.known.entries.size(),
                       config.settings.methods.size(), config.settings.plans.size(),
                       config.settings.gateways);
  });
  return worst;
}

}  // namespace
}  // namespace merlinbridge

int main(int argc, char** argv) {
  using namespace merlinbridge;
  std::signal(SIGHUP, SIG_IGN);   // until it is heard: the file is still to be read
  std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more is no reason to end
  Told told;
  CLI::App app{"merlinbridge: a front door that meters many customers' use of one shared service"};
  app.footer(
      "Exit codes: 0 ended as it was told, or fit; 1 it could not start or go on; 2 bad words, or a file "
      "that is not fit.\n"
      "Without a word it serves.");
  app.require_subcommand(0, 1);
  const auto files = [&told](CLI::App* c) {
    c->add_option("--orders", told.config, "the platform's file (JSON), else GW_CONFIG");
    c->add_option("--own", told.own, "the operators' file (TOML), else GW_OWN");
  };
  files(app.add_subcommand("serve", "serves until SIGTERM; SIGHUP has it read the platform's file again"));
  CLI::App* const checks = app.add_subcommand("check", "says whether the files are fit, and starts nothing");
  files(checks);
  CLI::App* const version = app.add_subcommand("version", "says which version this is");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? kDone : kUnfit;
  }
  if (*version) return std::cout << "merlinbridge " << MERLINBRIDGE_VERSION << '\n', kDone;
  return *checks ? check(told) : serve(told);
}
