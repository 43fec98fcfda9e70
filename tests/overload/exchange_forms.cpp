#include "exchange_forms.hpp"

#include <algorithm>
#include <charconv>

#include "http_text.hpp"
#include "support/messages.hpp"

namespace merlinbridge::testing {
namespace {

constexpr std::size_t kMaxBodyBytes = 65'536;
constexpr std::size_t kLargeFieldBytes = 15'500;  // with the other fields, a head of nearly 16 KB
const std::string kExpectField = "Expect: 100-continue\r\n";
const std::string kFormParameter = "?form=";
const std::string kLastChunk = "0\r\n\r\n";

std::string inChunks(const std::string& content, std::size_t chunkBytes) {
  std::string chunks;
  for (std::size_t begin = 0; begin < content.size(); begin += chunkBytes)
    chunks += chunkOf(content.substr(begin, chunkBytes));
  return chunks;
}

// Content that shows bytes that are lost, doubled or moved.
std::string contentOf(std::size_t bytes) {
  std::string content;
  while (content.size() < bytes) content += std::to_string(content.size()) + " ";
  return content.substr(0, bytes);
}

std::string smallContent() {
  return contentOf(212);
}

std::string largeField() {
  return "X: " + std::string(kLargeFieldBytes, 'x') + "\r\n";
}

std::string keyField() {
  return "Idempotency-Key: 5c0f6e1a2b3d4c59\r\n";
}

RequestForm withLength(const std::string& name, const std::string& method, const std::string& content,
                       const std::string& extraFields = "") {
  const std::string request = clientRequest(method, content, extraFields);
  const std::size_t headBytes = request.size() - content.size();
  return {name, request.substr(0, headBytes), content, content};
}

RequestForm chunked(const std::string& name, const std::string& content, const std::string& encoded,
                    const std::string& extraFields = "") {
  const std::string head =
      replaceOnce(clientRequest("pay", "", extraFields), "Content-Length: 0", "Transfer-Encoding: chunked");
  return {name, head, encoded, content};
}

RequestForm waiting(RequestForm form) {
  form.timing = BodyTiming::afterInterim;
  return form;
}

RequestForm inParts(RequestForm form) {
  form.timing = BodyTiming::partOfBodyLast;
  return form;
}

RequestForm spoilt(RequestForm form, const std::string& search, const std::string& replacement) {
  form.head = replaceOnce(form.head, search, replacement);
  form.isSound = false;
  return form;
}

// Makes one form of a request.
using MakeForm = RequestForm (*)();

std::vector<MakeForm> formsWithoutBody() {
  return {
      [] { return withLength("GET", "look", ""); },
      [] {
        RequestForm form = withLength("empty line before GET", "look", "");
        form.head.insert(0, "\r\n");
        return form;
      },
      [] { return withLength("GET with a length of 0", "look", "", "Content-Length: 0\r\n"); },
      [] { return withLength("GET with keep-alive", "look", "", "connection: Keep-Alive\r\n"); },
      [] { return withLength("GET with Connection: close", "look", "", "Connection: close\r\n"); },
      [] { return withLength("GET that expects an interim response", "look", "", kExpectField); },
      [] { return withLength("head of 16 KB", "look", "", largeField()); },
      [] { return withLength("POST without body", "pay", ""); },
  };
}

std::vector<MakeForm> formsWithBody() {
  return {
      [] { return withLength("POST", "pay", smallContent()); },
      [] { return inParts(withLength("POST of 64 KB", "pay", contentOf(kMaxBodyBytes))); },
      [] { return withLength("POST with a key", "save", smallContent(), keyField()); },
      [] { return chunked("one chunk", smallContent(), inChunks(smallContent(), 1000) + kLastChunk); },
      [] {
        return inParts(chunked("chunks of a byte", smallContent(), inChunks(smallContent(), 1) + kLastChunk));
      },
      [] { return chunked("chunk extensions", "abcde", "5 ; name=\"value\"\r\nabcde\r\n0;last\r\n\r\n"); },
      [] { return inParts(chunked("trailers", "abcde", "5\r\nabcde\r\n0\r\nOne: 1\r\nTwo: 2\r\n\r\n")); },
  };
}

std::vector<MakeForm> formsThatExpectInterim() {
  return {
      [] {
        return waiting(withLength("waits for the interim response", "pay", smallContent(), kExpectField));
      },
      [] {
        return waiting(
            withLength("waits, 64 KB", "save", contentOf(kMaxBodyBytes), kExpectField + keyField()));
      },
      [] {
        return waiting(chunked("waits, chunks", smallContent(), inChunks(smallContent(), 50) + kLastChunk,
                               "expect: 100-Continue\r\n"));
      },
      [] { return withLength("expects, but does not wait", "pay", smallContent(), kExpectField); },
      [] {
        return inParts(withLength("expects, with a part of the body", "pay", smallContent(), kExpectField));
      },
  };
}

std::vector<MakeForm> spoiltForms() {
  return {
      [] {
        return spoilt(waiting(withLength("waits, unknown plan", "pay", smallContent(), kExpectField)),
                      "Plan: free", "Plan: none");
      },
      [] { return spoilt(withLength("unknown plan", "pay", smallContent()), "Plan: free", "Plan: none"); },
      [] {
        return spoilt(withLength("length and chunks", "pay", smallContent()), "Host: x",
                      "Host: x\r\nTransfer-Encoding: chunked");
      },
      [] {
        return spoilt(withLength("negative length", "pay", smallContent()),
                      "Content-Length: ", "Content-Length: -");
      },
  };
}

const std::vector<MakeForm>& requestForms() {
  static const std::vector<MakeForm> forms = [] {
    std::vector<MakeForm> all;
    for (const auto& group : {formsWithoutBody(), formsWithBody(), formsThatExpectInterim(), spoiltForms()})
      all.insert(all.end(), group.begin(), group.end());
    return all;
  }();
  return forms;
}

std::string okHead(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
}

using After = HostResponse::After;

// The responses from which a client must get the content.
std::vector<HostResponse> wholeResponses(const std::string& content) {
  const std::string whole = okResponse(content);
  const std::string chunks = inChunks(content, 1000) + kLastChunk;
  const std::string smallChunks = inChunks(content, 7) + "0;x\r\nTrailer: 1\r\n\r\n";
  const std::string length = std::to_string(content.size());
  return {
      {whole},
      {okHead("Transfer-Encoding: chunked\r\n") + chunks},
      {okHead("transfer-encoding: Chunked\r\n") + smallChunks},
      {okHead("") + content, After::close},
      {"HTTP/1.1 100 Continue\r\n\r\n" + whole},
      {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 x\r\n\r\n" + whole},
      {okResponse(content, "Connection: close\r\n"), After::close},
      {okResponse(content, largeField())},
      {okResponse(content, "Content-Type: text/html\r\nUsage-Percent: x\r\nSrv-Load: y\r\n")},
      {whole + whole},
      {whole + "noise behind it"},
      {"HTTP/1.1 200\r\ncontent-length:" + length + "\r\n\r\n" + content},
  };
}

// The responses from which a client must get no 200.
std::vector<HostResponse> spoiltResponses(const std::string& content) {
  const std::string whole = okResponse(content);
  const std::string cut = whole.substr(0, whole.size() - 1);
  const std::string chunkedHead = okHead("Transfer-Encoding: chunked\r\n");
  return {
      {cut, After::close},
      {cut, After::reset},
      {chunkedHead + inChunks(content, 1000), After::close},
      {chunkedHead + "zz\r\n" + content},
      {okHead("Content-Length: 3000000000\r\n") + content, After::close},
      {okHead("Content-Length: -1\r\n") + content},
      {"noise without a head\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x')},
      {"", After::close},
      {"HTTP/1.1 500 x\r\nContent-Length: 5\r\n\r\nerror"},
      {"HTTP/1.1 100 Continue\r\n\r\n", After::close},
      {kDeclinedResponse},
  };
}

}  // namespace

RequestForm makeRequest(unsigned form, unsigned hostForm) {
  RequestForm request = requestForms().at(form)();
  request.head = replaceOnce(request.head, "?b=c", kFormParameter + std::to_string(hostForm));
  request.requestId = fieldOf(request.head, "Req-Id");
  const bool hasExpect = request.head.find("xpect: ") != std::string::npos;
  request.expectsInterim = hasExpect && !request.body.empty();
  return request;
}

HostResponse makeResponse(const std::string& head, const std::string& body) {
  unsigned form = 0;
  const std::size_t begin = head.find(kFormParameter);
  if (begin != std::string::npos)
    std::from_chars(head.data() + begin + kFormParameter.size(), head.data() + head.size(), form);
  const std::string content = contentFor(fieldOf(head, "Req-Id"), body);
  if (form < kWholeHostForms) return wholeResponses(content).at(form);
  return spoiltResponses(content).at(form - kWholeHostForms);
}

std::string contentFor(const std::string& requestId, const std::string& content) {
  return requestId + ":" + content.substr(0, kMaxBodyBytes - requestId.size() - 1);
}

}  // namespace merlinbridge::testing
