#pragma once

#include <optional>
#include <string>

#include "front/front.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace merlinbridge::net {

class Watch;

// One watch: a chunked answer without end, a line of JSON for each change.
class WatchLink final : public Connection {
 public:
  WatchLink(Loop&, Watch&, std::string_view message);

 private:
  void connected() override { heard_ = loop_.now(); }
  void bytesCame() override;
  void broken() override;
  Time waitEnds() const override;
  void waitedTooLong() override { broken(); }
  void takeLines(std::size_t& decoded);

  Watch& watch_;
  http::Message head_{http::Message::Kind::answer, http::Message::Body::streamed};
  http::Chunks chunks_;
  bool inBody_ = false;
  std::size_t decoded_ = 0;
  Time heard_;
};

// Discovery: keeps a watch open from the last list that was told.
class Watch {
 public:
  Watch(Loop&, std::string address, std::uint64_t from, Span connectPatience);

  void serve(front::Front& front);

 private:
  friend class WatchLink;
  void open();
  void heard();
  void lost();

  Loop& loop_;
  front::Front* front_ = nullptr;
  std::string address_;
  Endpoint peer_;
  std::uint64_t generation_;
  Span connectPatience_;
  SlotRef link_{};
  bool silent_ = false;
};

}  // namespace merlinbridge::net
