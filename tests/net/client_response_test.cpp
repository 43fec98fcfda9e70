#include "net/client/client_response.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace merlinbridge::net;

TEST_CASE(
    "a response head has the status, length and fields, and Connection: close if the connection closes") {
  CHECK(ResponseHead(200, 5, "A: b\r\n", Persistence::keepAlive).text() ==
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: b\r\n\r\n");
  CHECK(ResponseHead(408, 0, "", Persistence::close).text() ==
        "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
}

TEST_CASE("a response head has the reason phrase of its status") {
  std::string statusLines;
  for (const int status : {400, 404, 405, 409, 413, 429, 431, 502, 503}) {
    const ResponseHead head(status, 0, "", Persistence::keepAlive);
    statusLines += head.text().substr(0, head.text().find('\r') + 2);
  }
  CHECK(statusLines ==
        "HTTP/1.1 400 Bad Request\r\n"
        "HTTP/1.1 404 Not Found\r\n"
        "HTTP/1.1 405 Method Not Allowed\r\n"
        "HTTP/1.1 409 Conflict\r\n"
        "HTTP/1.1 413 Content Too Large\r\n"
        "HTTP/1.1 429 Too Many Requests\r\n"
        "HTTP/1.1 431 Request Header Fields Too Large\r\n"
        "HTTP/1.1 502 Bad Gateway\r\n"
        "HTTP/1.1 503 Service Unavailable\r\n");
}

TEST_CASE("a response head that exceeds the buffer is truncated") {
  const std::string fields = "A: " + std::string(500, 'b') + "\r\n";
  CHECK(ResponseHead(200, 0, fields, Persistence::keepAlive).text().size() == 256);
}
