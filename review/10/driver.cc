// BUDGET: a request crashes the runners that run it, and its caller sends it again. The gateways
// stop passing it on. They are then restarted one after the other, and pass it on again.

#include "harness.h"

using namespace review;

namespace {

constexpr int64_t kContactMs = 3'000;
constexpr int64_t kRunnerRestartMs = 3'000;
const char kDeadlyBody[] = "dead";

std::mutex g_mutex;
std::vector<int64_t> g_crashes;   ///< When runners crashed.
std::vector<int64_t> g_arrivals;  ///< When the deadly request reached a runner.

/// A runner that crashes on the deadly request. It is back after some seconds, with another id.
class FragileRunner {
 public:
  FragileRunner(ObjectStore& store, const std::string& name, Record& record)
      : store_(store), name_(name), record_(record), address_{NextIp(), 0} {
    address_.port = FreePort(address_.ip);
    Boot();
  }
  const Address& address() const { return address_; }

 private:
  void Boot() {
    ++boot_;
    if (boot_ > 1) store_.Delete("servers", Id(boot_ - 1));
    down_ = false;
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = ToSockaddr(address_);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(listener_, 256) != 0) {
      std::cerr << "cannot listen on " << address_.text() << std::endl;
      std::_Exit(kExitNotRun);
    }
    born_ = 1'700'000'000'000 + NowMs();
    std::thread([this, listener = listener_, boot = boot_]() {
      while (true) {
        const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) return;
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          open_.insert(client);
        }
        std::thread([this, client, boot]() { Serve(client, boot); }).detach();
      }
    }).detach();
    const json::object model{{"name", "model-1"}, {"version", 1}, {"adapters", json::array{}}};
    store_.Put("servers", Id(boot_),
               json::object{{"service", "kotoba"},
                            {"addr", address_.text()},
                            {"zone", "yanagawa"},
                            {"version", 1},
                            {"slots", 16},
                            {"state", "ready"},
                            {"cold_left_ms", 0},
                            {"seq", 1},
                            {"born", born_},
                            {"stage", "both"},
                            {"models", json::array{model}}});
  }

  std::string Id(int boot) const { return name_ + "-" + std::to_string(boot); }

  void Serve(int fd, int boot) {
    {
      Connection connection(fd);
      while (const std::optional<Message> request = connection.Read()) {
        if (request->body == kDeadlyBody && Expected(*request, boot)) {
          Crash(request->Header("X-Fuchsiaweir-Request-Id"));
          break;
        }
        if (down_ || !connection.Send(Handle(*request, boot))) break;
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      open_.erase(fd);
    }
  }

  bool Expected(const Message& request, int boot) const {
    const std::string expected = request.Header("X-Fuchsiaweir-Expect-Instance");
    return expected.empty() || expected == Id(boot);
  }

  std::string Handle(const Message& request, int boot) {
    if (request.path() == "/report") {
      const json::object model{{"name", "model-1"}, {"version", 1}, {"adapters", json::array{}}};
      return JsonAnswer(200, json::object{{"stage", "both"},
                                          {"models", json::array{model}},
                                          {"busy", false},
                                          {"seq", 0},
                                          {"queued", 0},
                                          {"active", 0},
                                          {"kv_used", 0},
                                          {"kv_total", 1'000'000},
                                          {"handles", 0},
                                          {"runs", json::array{}},
                                          {"clock_ms", NowMs()},
                                          {"born", born_}});
    }
    if (request.method() != "POST" || request.path() == "/order") {
      return JsonAnswer(400, json::object{});
    }
    const std::string id = request.Header("X-Fuchsiaweir-Request-Id");
    if (!Expected(request, boot)) {
      return Answer(421, "", {{"X-Fuchsiaweir-Request-Id", id}, {"X-Fuchsiaweir-Not-Run", "1"}});
    }
    SleepMs(20);
    return Answer(200, "id: 1\ndata: token\n\n",
                  {{"Content-Type", "text/event-stream"},
                   {"X-Fuchsiaweir-Request-Id", id},
                   {"X-Fuchsiaweir-Server-Stamp", Id(boot) + "." + id},
                   {"X-Fuchsiaweir-Weight-Versions", "1"}});
  }

  void Crash(const std::string& request_id) {
    if (down_.exchange(true)) return;
    {
      const std::lock_guard<std::mutex> lock(g_mutex);
      g_arrivals.push_back(NowMs());
      g_crashes.push_back(NowMs());
      record_.Line("runner " + Id(boot_) + " runs " + request_id + " and crashes; crash number " +
                   std::to_string(g_crashes.size()));
    }
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const int fd : open_) shutdown(fd, SHUT_RDWR);
    }
    std::thread([this]() {
      SleepMs(kRunnerRestartMs);
      Boot();
    }).detach();
  }

  ObjectStore& store_;
  std::string name_;
  Record& record_;
  Address address_;
  int listener_ = -1;
  int boot_ = 0;
  int64_t born_ = 0;
  std::atomic<bool> down_{false};
  std::mutex mutex_;
  std::set<int> open_;
};

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argc > 1 ? argv[1] : ".";
  Record record(folder + "/record.txt");
  ObjectStore store;
  store.Put("config", "main",
            DesiredState(1, {StreamRoute("/drafts/", "kotoba")}, {EngineService("kotoba")},
                         {Tenant("coach-guild", "key-guild")}));
  store.Put("versions", "model-1", json::object{{"model", "model-1"}, {"version", 1}});
  std::vector<std::unique_ptr<FragileRunner>> runners;
  for (int i = 0; i < 6; ++i) {
    runners.push_back(std::make_unique<FragileRunner>(store, "i-" + std::to_string(i), record));
  }

  Deployment deployment(store.address(), {{"yanagawa", "kyushu"}});
  const std::vector<std::string> names{"front-1", "front-2"};
  std::vector<Address> gateways;
  for (const std::string& name : names) {
    gateways.push_back(deployment.StartGateway(name, "yanagawa"));
  }
  for (size_t i = 0; i < runners.size(); ++i) {
    deployment.StartSidecar("side-" + std::to_string(i), "yanagawa", runners[i]->address());
  }
  for (const std::string& name : names) {
    if (deployment.WaitReady(name)) continue;
    record.Line(name + " is not ready");
    deployment.End(kExitNotRun);
  }
  SleepMs(3000);

  // Sound requests of other callers, all the time.
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::atomic<int> sent{0};
  std::vector<std::thread> callers;
  for (size_t g = 0; g < gateways.size(); ++g) {
    callers.emplace_back([&, g]() {
      for (int i = 0; !stop; ++i) {
        const std::string id = "s" + std::to_string(g) + "-" + std::to_string(i);
        const std::optional<Message> answer =
            Request(gateways[g], "/drafts/sound", id, "key-guild", "5c1e07a2:900,b0000001:50");
        ++sent;
        if (answer && answer->status() == 200) ++served;
        SleepMs(50);
      }
    });
  }
  int tries = 0;
  const auto send_deadly = [&](size_t g) {
    const std::string id = "d-" + std::to_string(++tries);
    const std::optional<Message> answer = Request(gateways[g], "/drafts/deadly", id, "key-guild",
                                                  "5c1e07a2:900,a0000001:50", {}, kDeadlyBody);
    record.Line("client sends " + id + " to " + names[g] + ", gets " +
                (answer ? std::to_string(answer->status()) : "no answer"));
  };
  const auto crashes = []() {
    const std::lock_guard<std::mutex> lock(g_mutex);
    return g_crashes.size();
  };
  // The caller comes again until the request has crashed three runners.
  for (int i = 0; i < 8 && crashes() < 3; ++i) {
    send_deadly(static_cast<size_t>(i) % gateways.size());
    SleepMs(1500);
  }
  SleepMs(kContactMs + 1000);
  if (crashes() < 3) {
    record.Line("three runners did not crash");
    deployment.End(kExitNotRun);
  }
  for (size_t g = 0; g < gateways.size(); ++g) send_deadly(g);

  for (size_t g = 0; g < gateways.size(); ++g) {
    if (Trouble()) {
      deployment.Signal(names[g], SIGTERM);
      deployment.Restart(names[g]);
      record.Line("operator: " + names[g] + " was stopped with SIGTERM and started again");
      if (!deployment.WaitReady(names[g])) {
        record.Line(names[g] + " is not ready");
        deployment.End(kExitNotRun);
      }
    }
    // All gateways have been in touch for contact_ms when the caller comes again.
    SleepMs(kContactMs + 1500);
    for (int i = 0; i < 3; ++i) {
      send_deadly(g);
      SleepMs(2000);
    }
  }
  stop = true;
  for (std::thread& caller : callers) caller.join();
  record.Line("sound requests: " + std::to_string(sent) + " sent, " + std::to_string(served) +
              " answered with 200");

  const std::lock_guard<std::mutex> lock(g_mutex);
  int64_t retries = 0;
  for (const int64_t at : g_arrivals) retries += at > g_crashes[2] + kContactMs ? 1 : 0;
  record.Line("later than contact_ms after the third crash the request reached a runner " +
              std::to_string(retries) + " times; three are allowed");
  record.Line(retries > 3 ? "BUDGET is broken" : "BUDGET holds");
  deployment.End(retries > 3 ? kExitBroken : kExitHeld);
}
