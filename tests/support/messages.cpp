#include "messages.hpp"

#include <algorithm>
#include <atomic>
#include <iomanip>
#include <sstream>

namespace merlinbridge::testing {

namespace {

constexpr std::size_t kRequestIdDigits = 16;

std::string freshRequestId() {
  static std::atomic<std::uint64_t> lastId = 0;  // tests also send from threads of their own
  std::ostringstream id;
  id << std::hex << std::setw(16) << std::setfill('0') << ++lastId;
  return id.str();
}

}  // namespace

std::string withRequestId(std::string request, const std::string& id) {
  const std::string field = "Req-Id: ";
  const std::size_t begin = request.find(field) + field.size();
  const std::string zeros(kRequestIdDigits - std::min(kRequestIdDigits, id.size()), '0');
  return request.replace(begin, request.find('\r', begin) - begin, zeros + id);
}

std::string clientRequest(const std::string& method, const std::string& body, const std::string& extraFields,
                          int deadlineMs) {
  const bool isIdempotent = method == "look";
  const std::string verb = isIdempotent ? "GET" : "POST";
  const std::string length = isIdempotent ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return verb + " /" + method + "/a?b=c HTTP/1.1\r\nHost: x\r\nReq-Id: " + freshRequestId() +
         "\r\nReq-Kind: " + method +
         "\r\nPlan: free\r\nAccount: 0000000000000007\r\nReq-Deadline-Ms: " + std::to_string(deadlineMs) +
         "\r\nQuota-Info: units=1,spread=1,first=0\r\n" + extraFields + length + "\r\n" + body;
}

std::string meteredRequest(int customer) {
  const std::string message = replaceOnce(clientRequest("look"), "Plan: free", "Plan: metered");
  return replaceOnce(message, "0000000000000007", "000000000000000" + std::to_string(customer));
}

std::string okResponse(const std::string& body, const std::string& extraFields) {
  return "HTTP/1.1 200 OK\r\n" + extraFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string chunkOf(const std::string& bytes) {
  std::ostringstream chunk;
  chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return chunk.str();
}

std::string endpointJson(std::uint16_t port, const std::string& name, const std::string& state) {
  return R"({"instanceId":")" + name + R"(","hostPort":"127.0.0.1:)" + std::to_string(port) +
         R"(","zone":"a","machineType":"m","cell":0,"lifecycle":")" + state + R"(","startedAtMs":0})";
}

std::string endpointListJson(int generation, const std::string& endpoints, const std::string& extraFields) {
  return "{\"generation\":" + std::to_string(generation) + "," + extraFields + "\"instances\":[" + endpoints +
         "]}";
}

std::string gatewayConfigText(const std::string& listen, const std::string& discovery,
                              const std::string& counter, const std::string& endpoints, std::size_t sockets) {
  return R"({"name":"n0","listen":")" + listen + R"(","discovery":")" + discovery +
         R"(","seed":"8c1f","limits":{"sockets":)" + std::to_string(sockets) + R"(},"counter":")" + counter +
         R"(","known":{"generation":41,"reset":true,"instances":[)" + endpoints +
         R"(]},"settings":{"siblings":1,"requestClasses":[)"
         R"({"name":"look","effect":"free","promise":600000,"hardLimit":2000000},)"
         R"({"name":"pay","effect":"single_shot","promise":600000,"hardLimit":2000000},)"
         R"({"name":"save","effect":"guarded","group":"all","window":150000,"promise":600000,"hardLimit":2000000}],)"
         R"("tariffs":[{"name":"free"},{"name":"metered","unitsPerS":5,"storeSize":20}],)"
         R"("familyInfo":{"hasCounter":true,"countLimit":50000,"largest":8},)"
         R"("limits":{"connectTimeout":250000,"connIdle":30000000,"cancel":true,"tryLimit":5,"retryAfter":true,)"
         R"("maxRetryAfter":1000000},"rules":{"startCapacity":0.2,"tipMultiple":3,"cold":1000000,)"
         R"("fall":1000000,"answerSlack":16000}}})";
}

std::string replaceOnce(std::string text, const std::string& search, const std::string& replacement) {
  if (search.empty()) return text;
  return text.replace(text.find(search), search.size(), replacement);
}

}  // namespace merlinbridge::testing
