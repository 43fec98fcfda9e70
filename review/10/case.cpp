// Clients name units out of range: they are owed an error, and no host may work for them.
#include "../common-2/deployments.hpp"

using namespace review;

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  std::atomic<int> runs{0};
  Host host([&](Socket& socket, const Message& request) {
    note("host: runs " + request.field("req-id") + " with Quota-Info: " + request.field("quota-info"));
    ++runs;
    return socket.send(response(200, "made for " + request.field("req-id")));
  });
  Discovery discovery;
  discovery.publish({{"s-1", host.address()}});
  Counter counter;
  Deployment deployment;
  deployment.gateways = 3;
  deployment.largest = 1;
  deployment.classes = R"({"name":"calendar-read","effect":"free","promise":1200000,"hardLimit":4000000,"importance":1})";
  deployment.plans = R"({"name":"full-ensemble","unitsPerS":12,"storeSize":30,"price":1.6})";
  Gateway gateway(arguments, "n0");
  gateway.configure(discovery.address(), counter.address(), discovery.wholeList(), deployment.str(), kLimits);
  gateway.start();
  int served = 0;
  // The customer's requests count one unit each, and familyInfo.largest says 1.
  const std::vector<std::string> bad{"units=2,spread=3,first=0",  "units=8,spread=3,first=0",  "units=25.5,spread=3,first=0",
                                     "units,spread=3,first=0",    "units:9,spread=3,first=0",  "units=1,spread,first=0",
                                     "units=-1,spread=3,first=0", "units=nan,spread=3,first=0", "units=1,spread=4,first=0"};
  int number = 0;
  for (const std::string& quota : bad) {
    RequestLine request;
    request.kind = "calendar-read";
    request.plan = "full-ensemble";
    request.account = text("00000000000000%02x", ++number);
    request.quota = arguments.trouble ? quota : "units=1,spread=3,first=0";
    Socket client = Socket::connectTo(gateway.port());
    client.send(request.str());
    Message answer;
    const ReadResult result = readMessage(client, now() + 3000, answer);
    const int status = result == ReadResult::message ? answer.status() : 0;
    note("client: Quota-Info: " + request.quota + text(" answered %d", status));
    if (arguments.trouble && status == 200) ++served;
  }
  finish(served > 0, text("%d of %zu requests with units or sets out of range or no number were served", served, bad.size()));
}
