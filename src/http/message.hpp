#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "http/chunked_decoder.hpp"
#include "http/limits.hpp"
#include "http/syntax.hpp"

namespace merlinbridge::http {

/// Reads one HTTP/1.0 or HTTP/1.1 message at the start of a buffer, incrementally and without copying.
///
/// The buffer belongs to the caller, who appends to it as bytes arrive. It may move in memory between two
/// calls of advance() (see bufferMoved()), but the bytes that advance() has seen must stay at their offsets;
/// a chunked body is decoded in place. Every view that is returned is part of the buffer: it is valid until
/// the buffer changes, moves or is freed.
///
/// The reader is strict: whatever two readers of one message could understand in different ways is an error,
/// so that no request can be smuggled past the gateway inside another one. Not thread-safe. Does not throw,
/// but for lack of memory.
class Message {
 public:
  /// What the message is: it decides how the start line is read and where a body without a length ends.
  enum class Kind { request, response };
  /// Who reads the body.
  enum class Body {
    buffered,  ///< The message is done once its body is complete; see maxBodyBytes.
    streamed  ///< The message is done with its head; the caller reads the body, which starts at bodyOffset().
  };
  /// From head to body to done; or to bad from either. Done and bad are final until clear().
  enum class Stage {
    head,    ///< The head is incomplete.
    body,    ///< The head is complete and may be read, the body is not.
    done,    ///< The message is complete.
    invalid  ///< The message is malformed or too large; errorStatus() says how.
  };
  /// A header field.
  struct Field {
    std::string_view name;   ///< As the peer wrote it.
    std::string_view value;  ///< Without blanks at its ends.
  };

  /// `maxBodyBytes` limits a body that is read whole, in bytes after decoding.
  explicit Message(Kind kind, Body body = Body::buffered, std::size_t maxBodyBytes = kMaxBodyBytes)
      : kind_(kind), bodyMode_(body), maxBodyBytes_(maxBodyBytes) {}

  /// Reads on in the buffer, which holds `size` bytes in all. Empty lines before a request and interim
  /// answers (1xx but 101) before an answer are skipped. Returns the stage reached.
  Stage advance(char* data, std::size_t size);
  /// The peer has closed the connection: completes an answer that has no stated length, whose body ends so.
  /// Returns the stage reached; one that is neither done nor bad means that the message was cut off.
  Stage peerClosed();
  /// Forgets the message, so that the next one may be read from the start of a buffer.
  void clear();
  /// The buffer has moved, with its bytes unchanged.
  void bufferMoved(char* data) { data_ = data; }

  // In every stage:

  /// The stage that advance() or ended() has reached.
  Stage stage() const { return stage_; }
  /// The status code to answer a bad request with: 400, 413 or 431. 0 if the message is not bad.
  int errorStatus() const { return errorStatus_; }
  /// Returns whether any byte of the message has arrived.
  bool hasBegun() const { return headSeen_ > 0; }

  // From stage body on. In stage bad they return what had been read before the fault was found.

  /// Returns whether the connection may be used for a further message after this one.
  bool keepsAlive() const { return keepsAlive_; }
  /// Returns whether the body is in chunked transfer coding.
  bool isChunked() const { return framing_ == Framing::chunked; }
  /// Returns whether the client waits for an interim answer 100 before it sends the body.
  bool expectsContinue() const { return expectsContinue_; }
  /// The status code of an answer, from 100 to 999; 0 for a request.
  int status() const { return status_; }
  /// The method of a request as written; empty for an answer.
  std::string_view method() const { return view(method_); }
  /// The target of a request as written, path and query; empty for an answer.
  std::string_view target() const { return view(target_); }
  /// Offset of the body in the buffer: the size of the head and of all that was skipped before it.
  std::size_t bodyOffset() const { return headEnd_; }
  /// The number of header fields, kMaxFields at most.
  std::size_t fieldCount() const { return fields_.size(); }
  /// One of the header fields, in the order received; `index` must be below fieldCount().
  Field field(std::size_t index) const { return {view(fields_[index].name), view(fields_[index].value)}; }
  /// The value of the first header field of that name, compared without regard to case; empty if there is
  /// none.
  std::string_view get(std::string_view name) const;
  /// The decoded body as far as it has been read.
  std::string_view body() const { return {data_ + headEnd_, decodedEnd_ - headEnd_}; }
  /// How many bytes of the buffer the message takes, once it is done. Bytes after them belong to the next
  /// one.
  std::size_t size() const { return consumed_; }

 private:
  enum class Version { http10, http11 };
  // How the end of the body is found.
  enum class Framing { none, length, chunked, untilClose };
  // A part of the buffer.
  struct Span {
    std::uint32_t offset = 0;
    std::uint32_t size = 0;
  };
  struct FieldSpans {
    Span name;
    Span value;
  };
  // What the header fields say of the body's framing and of the connection.
  struct FramingFields {
    std::optional<std::uint64_t> contentLength;
    bool hasTransferCoding = false;
    std::string_view connection;
  };

  std::string_view view(Span span) const { return {data_ + span.offset, span.size}; }
  Span spanOf(std::string_view part) const;
  bool fail(int errorStatus);
  bool readHead(std::size_t size);
  bool findHeadEnd(std::size_t size);
  bool readHeadLines();
  bool readStartLine(std::string_view line);
  bool readStatusLine(std::string_view line);
  bool readRequestLine(std::string_view line);
  bool readVersion(std::string_view text);
  bool readField(std::string_view line);
  bool isInterimAnswer() const;
  void skipInterimAnswer();
  bool readFraming();
  bool readFramingField(const Field&, FramingFields&);
  bool readContentLength(std::string_view value, FramingFields&);
  bool chooseFraming(const FramingFields&);
  Framing framingOf(const FramingFields&) const;
  bool startBody();
  bool readBody(std::size_t size);
  bool readChunkedBody(std::size_t size);
  bool readPlainBody(std::size_t size);

  const Kind kind_;
  const Body bodyMode_;
  const std::size_t maxBodyBytes_;
  char* data_ = nullptr;
  Stage stage_ = Stage::head;
  int errorStatus_ = 0;
  int status_ = 0;
  Version version_ = Version::http11;
  bool keepsAlive_ = true;
  bool expectsContinue_ = false;
  // Offsets in the buffer:
  std::size_t start_ = 0;       // of the start line
  std::size_t headSeen_ = 0;    // end of what has been searched for the end of the head
  std::size_t headEnd_ = 0;     // end of the head, start of the body
  std::size_t decodedEnd_ = 0;  // end of the decoded body
  std::size_t consumed_ = 0;    // end of what has been read
  std::uint64_t contentLength_ = 0;
  Framing framing_ = Framing::none;
  Span method_;
  Span target_;
  std::vector<FieldSpans> fields_;
  ChunkedDecoder chunks_;
};

}  // namespace merlinbridge::http
