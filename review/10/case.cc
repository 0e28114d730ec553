// HOME: the operator adds a store of kept KV cache in another region. The memory of prompts whose
// route has a home is moved there.

#include "harness.h"

using namespace review;

int main(int argc, char** argv) {
  const std::string folder = argc > 1 ? argv[1] : ".";
  Record record(folder + "/record.txt");
  ObjectStore store;
  const std::map<std::string, std::string> zones{{"yanagawa", "kyushu"}, {"poa-1", "sul-br"}};
  Runner east(store, "i-kyushu", "kotoba", "yanagawa", record);
  CacheStore near;
  CacheStore far;
  bool moved = false;
  std::mutex mutex;
  east.on_save = [&](const std::string& address, const std::string& salt, const PromptPart& part) {
    const bool leaves = address == far.address().text();
    record.Line("runner i-kyushu sends part " + part.id + " to the store in " +
                (leaves ? "sul-br" : "kyushu"));
    (leaves ? far : near).Save(salt, part, "model-1");
    const std::lock_guard<std::mutex> lock(mutex);
    moved = moved || leaves;
  };
  const auto operator_writes = [&](int64_t version, bool two_stores) {
    json::object route = StreamRoute("/drafts/", "kotoba");
    route["home_regions"] = json::array{"kyushu"};
    json::array services{EngineService("kotoba"),
                         StoreService("tsumugi", near.address(), "yanagawa")};
    if (two_stores) services.push_back(StoreService("tsumugi-2", far.address(), "poa-1"));
    store.Put("config", "main",
              DesiredState(version, {route}, services, {Tenant("coach-guild", "key-guild")}));
    record.Line("operator: version " + std::to_string(version) + ", home of the route kyushu, " +
                (two_stores ? "stores in kyushu and sul-br" : "a store in kyushu") +
                "; acknowledged");
  };
  operator_writes(1, false);
  store.Put("versions", "model-1", json::object{{"model", "model-1"}, {"version", 1}});

  Deployment deployment(store.address(), zones);
  const Address gateway = deployment.StartGateway("front-1", "yanagawa");
  deployment.StartSidecar("side-1", "yanagawa", east.address());
  if (!deployment.WaitReady("front-1")) {
    record.Line("the gateway is not ready");
    deployment.End(kExitNotRun);
  }
  SleepMs(1500);
  if (Trouble()) operator_writes(2, true);
  // More than twice config_ms (2,000).
  SleepMs(5000);
  for (int i = 0; i < 40; ++i) {
    const std::string number = std::to_string(100 + i);
    const std::optional<Message> answer =
        Request(gateway, "/drafts/1", "a-" + number, "key-guild",
                "5c1e0" + number + ":900,a0000" + number + ":50");
    record.Line("client sends a-" + number + ", gets " +
                (answer ? std::to_string(answer->status()) : "no answer"));
    if (!answer || answer->status() != 200) deployment.End(kExitNotRun);
  }
  const std::lock_guard<std::mutex> lock(mutex);
  record.Line(moved ? "HOME is broken: memory of prompts whose home is kyushu was moved to sul-br"
                    : "HOME holds");
  deployment.End(moved ? kExitBroken : kExitHeld);
}
