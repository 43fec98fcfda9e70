#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "http/chunks.hpp"

namespace merlinbridge::http {

/// The protocol's bound on a body, and ours on a head.
constexpr std::size_t kMaxBodyBytes = 64 * 1024, kMaxHeadBytes = 16 * 1024, kMaxFields = 96;

/// Whether two names of fields, or two of their words, are the same.
bool same(std::string_view a, std::string_view b);
/// Whether a list of words, parted by commas, holds one.
bool listContains(std::string_view list, std::string_view word);

/// One HTTP/1.1 message at the start of a buffer, read bit by bit. The buffer may move between two calls of
/// advance(), but what has been seen must stay as it was; the views are good until it moves.
class Message {
 public:
  enum class Kind { request, answer };
  enum class Body { whole, streamed };  ///< streamed: done with the head, the reader takes the rest
  enum class Stage { head, body, done, bad };
  struct Field {
    std::string_view name, value;
  };

  explicit Message(Kind kind, Body body = Body::whole, std::size_t maxBodyBytes = kMaxBodyBytes)
      : kind_(kind), wanted_(body), maxBodyBytes_(maxBodyBytes) {}

  Stage advance(char* data, std::size_t size);
  /// The peer has closed: an answer of no stated length ends so.
  Stage ended();
  void clear();
  /// The buffer has moved since.
  void movedTo(char* data) { data_ = data; }

  Stage stage() const { return stage_; }
  int blame() const { return blame_; }          // the status that says what is bad
  bool begun() const { return headSeen_ > 0; }  // some of it has come
  std::size_t size() const { return raw_; }     // bytes of the buffer that it takes, once done
  bool keepsAlive() const { return keepAlive_; }
  bool chunked() const { return framing_ == Framing::chunked; }
  bool expectsContinue() const { return expects_; }
  int status() const { return status_; }
  std::string_view method() const { return view(method_); }
  std::string_view target() const { return view(target_); }
  std::string_view body() const { return {data_ + headEnd_, decoded_ - headEnd_}; }
  std::size_t bodyAt() const { return headEnd_; }
  std::size_t fields() const { return fields_.size(); }
  Field field(std::size_t at) const { return {view(fields_[at].name), view(fields_[at].value)}; }
  std::string_view get(std::string_view name) const;  ///< empty where there is none

 private:
  enum class Framing { none, length, chunked, untilClose };
  struct Part {
    std::uint32_t at = 0, size = 0;
  };
  struct FieldParts {
    Part name, value;
  };

  std::string_view view(Part p) const { return {data_ + p.at, p.size}; }
  Stage bad(int status);
  Stage readHead();
  bool readStartLine(std::size_t from, std::size_t to);
  bool readField(std::size_t from, std::size_t to);
  Stage readFraming();
  Stage readBody(std::size_t size);

  const Kind kind_;
  const Body wanted_;
  const std::size_t maxBodyBytes_;
  char* data_ = nullptr;
  Stage stage_ = Stage::head;
  int blame_ = 0, status_ = 0;
  bool keepAlive_ = true, expects_ = false, oldVersion_ = false;
  std::size_t start_ = 0, headSeen_ = 0, headEnd_ = 0, decoded_ = 0, raw_ = 0;
  std::uint64_t length_ = 0;
  Framing framing_ = Framing::none;
  Part method_, target_;
  std::vector<FieldParts> fields_;
  Chunks chunks_;
};

}  // namespace merlinbridge::http
