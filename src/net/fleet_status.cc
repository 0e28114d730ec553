#include "net/fleet_status.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/json_fields.h"
#include "net/notifier.h"

namespace fuchsiaweir {
namespace {

constexpr Duration kCallTimeout = Seconds(2);
constexpr Duration kPollPause = Millis(200);

struct Calls {
  std::vector<HttpResult> results;
  size_t open = 0;
  Notifier ended;
};

Awaitable<void> CallOne(HttpClient& client, std::shared_ptr<Calls> calls, size_t index,
                        Endpoint endpoint, HttpRequest request) {
  CallOptions options;
  options.timeout = kCallTimeout;
  calls->results[index] = co_await client.Call(std::move(endpoint), std::move(request), options);
  --calls->open;
  calls->ended.NotifyAll();
}

void ReadAnswer(const HttpResult& result, ProcessStatus& status) {
  if (!result.ok()) return;
  try {
    const boost::json::object object = ParseJsonObject(result.response->body);
    status.revision = IntegerField(object, "revision");
    status.ready = BooleanField(object, "ready");
    status.state = StringField(object, "state");
    status.answers = true;
  } catch (const std::exception&) {
    status.answers = false;  // Another program answers at the address.
  }
}

bool IsListed(const std::vector<ListedHost>& list, const std::string& name) {
  return list.empty() || std::any_of(list.begin(), list.end(),
                                     [&](const ListedHost& host) { return host.name == name; });
}

}  // namespace

Awaitable<std::vector<HttpResult>> CallAllHosts(OperatorSession& session, std::vector<Host> hosts,
                                                HttpRequest request) {
  auto calls = std::make_shared<Calls>();
  calls->results.resize(hosts.size());
  calls->open = hosts.size();
  for (size_t i = 0; i < hosts.size(); ++i) {
    const Endpoint endpoint{hosts[i].address, static_cast<uint16_t>(hosts[i].port)};
    Spawn(session.io(), "call_host", [&session, calls, i, endpoint, request]() {
      return CallOne(session.peers(), calls, i, endpoint, request);
    });
  }
  while (calls->open > 0) co_await calls->ended.WaitUntil(SteadyNow() + kCallTimeout);
  co_return std::move(calls->results);
}

Awaitable<std::vector<ProcessStatus>> ReadFleetStatus(OperatorSession& session,
                                                      std::vector<Host> hosts) {
  const std::vector<ListedHost> list = co_await session.ReadHostList();
  HttpRequest request;
  request.target = "/internal/v1/status";
  const std::vector<HttpResult> results = co_await CallAllHosts(session, hosts, std::move(request));
  std::vector<ProcessStatus> statuses;
  for (size_t i = 0; i < hosts.size(); ++i) {
    ProcessStatus status;
    status.host = hosts[i].name;
    status.data_centre = hosts[i].data_centre;
    status.role = hosts[i].role;
    status.listed = IsListed(list, hosts[i].name);
    ReadAnswer(results[i], status);
    statuses.push_back(std::move(status));
  }
  co_return statuses;
}

Awaitable<std::vector<ProcessStatus>> WaitForRevision(OperatorSession& session,
                                                      std::vector<Host> hosts, int64_t revision,
                                                      TimePoint deadline) {
  while (true) {
    std::vector<ProcessStatus> laggards = co_await ReadFleetStatus(session, hosts);
    const auto in_force = [revision](const ProcessStatus& status) {
      return !status.live() || status.revision >= revision;
    };
    laggards.erase(std::remove_if(laggards.begin(), laggards.end(), in_force), laggards.end());
    if (laggards.empty() || SteadyNow() >= deadline) co_return laggards;
    co_await SleepFor(kPollPause);
  }
}

}  // namespace fuchsiaweir
