// Runs one of the stand-ins for the external systems that tests need.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <string>
#include <vector>

#include "engine.h"
#include "fleet_runner.h"
#include "fleet_store.h"
#include "kv_store.h"
#include "plain_service.h"
#include "platform.h"

ABSL_FLAG(int, port, 0, "port on 127.0.0.1");
ABSL_FLAG(int, second_port, 0, "second port of the fleet_store on 127.0.0.1");
ABSL_FLAG(std::string, model, "model", "model that the engine serves");
ABSL_FLAG(std::string, version, "v1", "weight version that the engine starts with");
ABSL_FLAG(int64_t, prefill_tokens_per_second, 100'000, "prefill speed of the engine");
ABSL_FLAG(int64_t, token_micros, 2'000, "time between two output tokens in microseconds");
ABSL_FLAG(int64_t, cache_blocks, 64, "blocks in accelerator memory");
ABSL_FLAG(int64_t, max_concurrent, 16, "runs in one batch of the engine");
ABSL_FLAG(int64_t, cold_limit, 1, "runs that a cold engine bears");
ABSL_FLAG(int64_t, warm_up_runs, 4, "completed runs after which the engine is warm");
ABSL_FLAG(bool, checks_fence, true, "the engine refuses orders with an old fencing number");
ABSL_FLAG(std::string, instance, "runner", "id of the runner");
ABSL_FLAG(int64_t, started_ms, 1'000, "start time that the fleet_runner reports");
ABSL_FLAG(bool, record_runs, false, "the fleet_runner logs the begin and end of each run");
ABSL_FLAG(std::string, platform, "", "ADDRESS:PORT of the weight store");
ABSL_FLAG(int64_t, capacity_blocks, 1024, "blocks in the store");
ABSL_FLAG(int64_t, memory_blocks, 1024, "blocks in the store's memory");

int main(int argc, char** argv) {
  using namespace fuchsiaweir::standin;  // NOLINT(google-build-using-namespace)
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  const std::string standin_name = arguments.size() > 1 ? arguments[1] : "";
  const int port = absl::GetFlag(FLAGS_port);
  if (standin_name == "platform") {
    RunPlatform(port);
  } else if (standin_name == "fleet_store") {
    RunFleetStore(port, absl::GetFlag(FLAGS_second_port));
  } else if (standin_name == "fleet_runner") {
    FleetRunnerOptions options;
    options.port = port;
    options.instance = absl::GetFlag(FLAGS_instance);
    options.started_ms = absl::GetFlag(FLAGS_started_ms);
    options.record_runs = absl::GetFlag(FLAGS_record_runs);
    RunFleetRunner(options);
  } else if (standin_name == "service") {
    RunPlainService(port);
  } else if (standin_name == "engine") {
    EngineOptions options;
    options.port = port;
    options.model = absl::GetFlag(FLAGS_model);
    options.version = absl::GetFlag(FLAGS_version);
    options.prefill_tokens_per_second = absl::GetFlag(FLAGS_prefill_tokens_per_second);
    options.token_micros = absl::GetFlag(FLAGS_token_micros);
    options.cache_blocks = absl::GetFlag(FLAGS_cache_blocks);
    options.max_concurrent = absl::GetFlag(FLAGS_max_concurrent);
    options.cold_limit = absl::GetFlag(FLAGS_cold_limit);
    options.warm_up_runs = absl::GetFlag(FLAGS_warm_up_runs);
    options.checks_fence = absl::GetFlag(FLAGS_checks_fence);
    options.platform = absl::GetFlag(FLAGS_platform);
    RunEngine(options);
  } else if (standin_name == "store") {
    KvStoreOptions options;
    options.port = port;
    options.capacity_blocks = absl::GetFlag(FLAGS_capacity_blocks);
    options.memory_blocks = absl::GetFlag(FLAGS_memory_blocks);
    RunKvStore(options);
  } else {
    std::cerr
        << "usage: fuchsiaweir_standin platform|service|engine|store|fleet_store|fleet_runner "
           "--port=PORT\n";
    return 64;
  }
  return 0;
}
