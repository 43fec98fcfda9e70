#include "simulator_adapter/simulator_adapter.hpp"

#include "simulator_adapter/message_reader.hpp"
#include "simulator_adapter/session.hpp"

namespace merlinbridge::simulator_adapter {

void serve(std::istream& in, std::ostream& out) {
  MessageReader reader(in);
  Session session(out);
  while (const auto message = reader.next()) session.handle(*message);
  session.end();
}

}  // namespace merlinbridge::simulator_adapter
