#pragma once

#include "policy_api/decision_engine.hpp"
#include "util/log_event.hpp"

namespace merlinbridge::core {

/// Returns the log event that reports a state change of the decision engine.
constexpr LogEvent logEventOf(EngineEvent event) {
  switch (event) {
    case EngineEvent::counterUnreachable:
      return LogEvent::counterUnreachable;
    case EngineEvent::counterRestored:
      return LogEvent::counterRestored;
    case EngineEvent::loadSheddingStarted:
      return LogEvent::loadSheddingStarted;
    case EngineEvent::loadSheddingStopped:
      break;
  }
  return LogEvent::loadSheddingStopped;
}

}  // namespace merlinbridge::core
