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
/// calls of advance() (see bufferMoved()), but the bytes that advance() has read must stay at their offsets.
/// A chunked body is decoded in place. Every view that is returned refers to the buffer and is valid until
/// the buffer changes, moves or is freed.
///
/// The parser is strict: anything that two HTTP implementations could interpret differently is an error,
/// which prevents request smuggling. Not thread-safe. Throws only if memory runs out.
class Message {
 public:
  /// Determines how the start line is read and where a body without a stated length ends.
  enum class Kind { request, response };
  /// Whether the message includes its body.
  enum class Body {
    buffered,  ///< The message is done once its body is complete; see maxBodyBytes.
    streamed  ///< The message is done with its head; the caller reads the body, which starts at bodyOffset().
  };
  /// How far the message has been read. It becomes invalid from `head` or `body`; `done` and `invalid` are
  /// final until clear().
  enum class Stage {
    head,    ///< The head is incomplete.
    body,    ///< The head is complete and may be accessed; the body is incomplete.
    done,    ///< The message is complete.
    invalid  ///< The message is malformed or too large; errorStatus() says how.
  };
  /// A header field.
  struct Field {
    std::string_view name;   ///< As the peer wrote it.
    std::string_view value;  ///< Without leading and trailing blanks and tabs.
  };

  /// `maxBodyBytes` limits a buffered body, in bytes after decoding.
  explicit Message(Kind kind, Body body = Body::buffered, std::size_t maxBodyBytes = kMaxBodyBytes)
      : kind_(kind), bodyMode_(body), maxBodyBytes_(maxBodyBytes) {}

  /// Continues reading in the buffer, which holds `size` bytes in all. Skips empty lines before a request,
  /// and interim responses (1xx except 101) before a response. Returns the stage reached.
  Stage advance(char* data, std::size_t size);
  /// The peer has closed the connection: completes a response without a stated length, whose body ends with
  /// the connection. Returns the stage reached; `head` or `body` means that the message was truncated.
  Stage peerClosed();
  /// Resets the parser, so that it can read the next message from the start of a buffer.
  void clear();
  /// The buffer has moved to `data`, with its bytes unchanged.
  void bufferMoved(char* data) { data_ = data; }

  // In every stage:

  /// The stage that advance() or peerClosed() has reached.
  Stage stage() const { return stage_; }
  /// The status code to answer an invalid request with: 400, 413 or 431. 0 if the message is not invalid.
  int errorStatus() const { return errorStatus_; }
  /// Returns whether any byte of the message has arrived.
  bool hasBegun() const { return headSeen_ > 0; }

  // From stage `body` on. In stage `invalid` they return what had been read before the error was found.

  /// Returns whether the connection may be used for a further message after this one.
  bool keepsAlive() const { return keepsAlive_; }
  /// Returns whether the message is of HTTP/1.1, not of HTTP/1.0.
  bool isHttp11() const { return version_ == Version::http11; }
  /// Returns whether the body is in chunked transfer coding.
  bool isChunked() const { return framing_ == Framing::chunked; }
  /// Returns whether the client waits for an interim response 100 before it sends the body.
  bool expectsContinue() const { return expectsContinue_; }
  /// The body's length as stated by Content-Length; 0 if there is none.
  std::uint64_t contentLength() const { return contentLength_; }
  /// The status code of a response, from 100 to 999; 0 for a request.
  int status() const { return status_; }
  /// The method of a request as received; empty for a response.
  std::string_view method() const { return view(method_); }
  /// The target of a request as received, path and query; empty for a response.
  std::string_view target() const { return view(target_); }
  /// Offset of the body in the buffer: the size of the head and of everything skipped before it.
  std::size_t bodyOffset() const { return headEnd_; }
  /// The number of header fields, kMaxFields at most.
  std::size_t fieldCount() const { return fields_.size(); }
  /// One of the header fields, in the order received; `index` must be below fieldCount().
  Field field(std::size_t index) const { return {view(fields_[index].name), view(fields_[index].value)}; }
  /// The value of the first header field of that name, ignoring case; empty if there is none.
  std::string_view get(std::string_view name) const;
  /// The part of the decoded body that has been read.
  std::string_view body() const { return {data_ + headEnd_, decodedEnd_ - headEnd_}; }
  /// The number of bytes that the message takes in the buffer, once it is done. Bytes after them belong to
  /// the next message.
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
  // The header fields that determine the body's framing and whether the connection is kept.
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
  bool isInterimResponse() const;
  void skipInterimResponse();
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
  std::size_t headSeen_ = 0;    // end of the bytes searched for the end of the head
  std::size_t headEnd_ = 0;     // end of the head, start of the body
  std::size_t decodedEnd_ = 0;  // end of the decoded body
  std::size_t consumed_ = 0;    // end of the bytes read
  std::uint64_t contentLength_ = 0;
  Framing framing_ = Framing::none;
  Span method_;
  Span target_;
  std::vector<FieldSpans> fields_;
  ChunkedDecoder chunks_;
};

}  // namespace merlinbridge::http
