#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "capacity/fleet.h"
#include "capacity/slope.h"
#include "capacity/usage.h"
#include "process/deployment.h"

namespace fuchsiaweir::capacity {
namespace {

namespace json = boost::json;
using testing::Deployment;
using testing::Eventually;
using testing::Reply;
using testing::Send;

/// Exceeds the 5 s after which a watch ends that was open before the host list changed.
constexpr Duration kSettleDelay = Seconds(8);
constexpr Duration kIdlePeriod = Seconds(10);
constexpr int kConfigChanges = 4;
constexpr int kConcurrentCallers = 8;
constexpr int kSamplesPerSecond = 10;
constexpr Duration kSampleInterval = Millis(100);
constexpr Duration kMaxSamplingTime = Seconds(20);
constexpr int kRepetitions = 3;

void Sleep(Duration duration) { std::this_thread::sleep_for(duration); }

std::vector<pid_t> Pids(const Deployment& deployment, const std::vector<std::string>& names) {
  std::vector<pid_t> pids;
  for (const std::string& name : names) pids.push_back(deployment.pid(name));
  return pids;
}

double TotalMicros(const Deployment& deployment, const std::vector<std::string>& names) {
  double total = 0;
  for (const std::string& name : names) total += CpuTimeMicros(deployment.pid(name));
  return total;
}

std::vector<std::string> Names(const std::string& kind, int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) names.push_back(absl::StrCat(kind, i));
  return names;
}

/// Writes the daemons into the host list of the platform stand-in.
void WriteHostList(const Deployment& deployment, const std::vector<std::string>& names) {
  json::array hosts;
  for (const std::string& name : names) {
    const bool even = (name.back() - '0') % 2 == 0;
    hosts.push_back(
        json::object{{"name", name}, {"data_centre", even ? "east" : "west"}, {"state", "live"}});
  }
  const json::object body{{"hosts", std::move(hosts)}};
  Send("PUT", deployment.port("platform"), "/hosts", json::serialize(body));
}

/// Numbers of calls that the platform has answered. A watch counts once, however long it waits.
struct PlatformCalls {
  double reads = 0;
  double writes = 0;
  double watches = 0;
  double hosts = 0;
  double total = 0;

  PlatformCalls operator-(const PlatformCalls& b) const {
    return {reads - b.reads, writes - b.writes, watches - b.watches, hosts - b.hosts,
            total - b.total};
  }
};

PlatformCalls ReadPlatformCalls(Deployment& deployment) {
  const json::object stats = deployment.Stats("platform");
  const auto number = [&](const char* name) { return stats.at(name).to_number<double>(); };
  return {number("reads"), number("writes"), number("watches"), number("host_reads"),
          number("calls")};
}

/// Returns the highest number of platform calls within a second, sampled until one second after
/// `done` first returned true.
double PeakCallsPerSecond(Deployment& deployment, const std::function<bool()>& done) {
  std::vector<double> samples{ReadPlatformCalls(deployment).total};
  const TimePoint end = SteadyNow() + kMaxSamplingTime;
  TimePoint next = SteadyNow();
  int samples_left = kSamplesPerSecond;
  while (SteadyNow() < end && samples_left > 0) {
    next += kSampleInterval;
    std::this_thread::sleep_until(next);
    samples.push_back(ReadPlatformCalls(deployment).total);
    if (done()) --samples_left;
  }
  double peak = 0;
  for (size_t i = 1; i < samples.size(); ++i) {
    peak = std::max(peak, samples[i] - samples[i < kSamplesPerSecond ? 0 : i - kSamplesPerSecond]);
  }
  return peak;
}

/// Returns the time at which the process logged that it adopted the revision, if it did.
std::optional<absl::Time> FindAdoptionTime(const Deployment& deployment, const std::string& name,
                                           int64_t revision) {
  std::ifstream file(absl::StrCat(deployment.directory(), "/", name, ".log"));
  const std::string revision_field = absl::StrCat("\"revision\":\"", revision, "\"");
  std::optional<absl::Time> found;
  for (std::string line; std::getline(file, line);) {
    if (line.find("config_adopted") == std::string::npos) continue;
    if (line.find(revision_field) == std::string::npos) continue;
    absl::Time time;
    std::string failure;
    const std::string text(json::parse(line).at("time").as_string());
    if (absl::ParseTime(absl::RFC3339_full, text, &time, &failure)) found = time;
  }
  return found;
}

int64_t CurrentRevision(const Deployment& deployment) {
  const Reply reply = Send("GET", deployment.port("platform"), "/objects/config%2Fcurrent");
  return reply.json().at("version").to_number<int64_t>();
}

/// Applies an inventory and returns the time in seconds until all processes have adopted it.
double MeasureChangeSeconds(Deployment& deployment, const std::vector<std::string>& names,
                            const std::string& inventory) {
  const absl::Time begin = absl::Now();
  deployment.Apply(inventory);
  const int64_t revision = CurrentRevision(deployment);
  absl::Time last = begin;
  const bool adopted_by_all = Eventually([&]() {
    for (const std::string& name : names) {
      const std::optional<absl::Time> adopted = FindAdoptionTime(deployment, name, revision);
      if (!adopted) return false;
      last = std::max(last, *adopted);
    }
    return true;
  });
  if (!adopted_by_all) {
    throw std::runtime_error(
        absl::StrCat("revision ", revision, " was not in force in all processes within 20 s"));
  }
  return absl::ToDoubleSeconds(last - begin);
}

double MedianResident(const Deployment& deployment, const std::vector<std::string>& names) {
  std::vector<double> bytes;
  for (const std::string& name : names) bytes.push_back(ResidentBytes(deployment.pid(name)));
  std::sort(bytes.begin(), bytes.end());
  return bytes[bytes.size() / 2];
}

/// Raises the limits of the test inventory, which suit a small deployment only.
std::string RaiseLimits(const std::string& inventory) {
  return absl::StrReplaceAll(
      inventory, {{"model = model\n", "model = model\ncold_limit = 64\nmax_concurrent = 64\n"},
                  {"[team alpha]\n",
                   "[team alpha]\nmax_concurrent = 100000\ntokens_per_second = 1000000000\n"}});
}

std::vector<Slope> MeasureFleets(uint64_t) {
  Slope reads{"fleet_reads", "processes", "host-list reads and object reads per second, idle", {}};
  Slope watches{"fleet_watches", "processes", "watch calls per second, idle", {}};
  Slope cpu{"fleet_cpu", "processes", "us per second of all processes together, idle", {}};
  Slope bytes{"fleet_bytes", "processes", "bytes/s of all processes together, idle", {}};
  Slope max_process_bytes{
      "fleet_busiest_bytes", "processes", "bytes per change of the busiest process", {}};
  Slope resident{"fleet_resident", "processes", "resident bytes of one, full inventory", {}};
  Slope delay{"change_seconds", "processes", "s until in force everywhere, mean of 4", {}};
  Slope worst_delay{"change_worst", "processes", "s until in force everywhere, worst of 4", {}};
  Slope change_cpu{"change_cpu", "processes", "us per change of all processes together", {}};
  Slope change_bytes{"change_bytes", "processes", "bytes per change of all together", {}};
  Slope change_calls{"change_calls", "processes", "platform calls per change beyond idle", {}};
  Slope restart_calls{
      "burst_calls", "processes", "platform calls until all are in force, all restart", {}};
  Slope restart_seconds{"burst_seconds", "processes", "s from restart of all to all in force", {}};
  Slope outage_peak{
      "outage_calls", "processes", "platform calls in the peak second after outage", {}};
  for (const int count : {10, 20, 40, 80}) {
    const std::vector<std::string> names = Names("entry", count);
    Deployment::Options options;
    options.agents = 0;
    options.entries = count;
    Deployment deployment(options);
    deployment.Start();
    WriteHostList(deployment, names);
    const std::string base = deployment.inventory() + FleetInventoryText({});
    MeasureChangeSeconds(deployment, names, base);
    Sleep(kSettleDelay);

    const double seconds = ToSeconds(kIdlePeriod);
    TrafficMeter traffic(Pids(deployment, names));
    traffic.Sample();
    const PlatformCalls calls = ReadPlatformCalls(deployment);
    const double micros = TotalMicros(deployment, names);
    Sleep(kIdlePeriod);
    const double idle_micros = (TotalMicros(deployment, names) - micros) / seconds;
    const PlatformCalls idle = ReadPlatformCalls(deployment) - calls;
    traffic.Sample();
    const double idle_bytes = traffic.total() / seconds;
    reads.points.emplace_back(count, (idle.reads + idle.hosts) / seconds);
    watches.points.emplace_back(count, idle.watches / seconds);
    cpu.points.emplace_back(count, idle_micros);
    bytes.points.emplace_back(count, idle_bytes);

    double worst = 0;
    double sum = 0;
    TrafficMeter change_traffic(Pids(deployment, names));
    change_traffic.Sample();
    const TimePoint begin = SteadyNow();
    const PlatformCalls calls_before = ReadPlatformCalls(deployment);
    const double micros_before = TotalMicros(deployment, names);
    for (int i = 0; i < kConfigChanges; ++i) {
      const std::string changed =
          absl::StrReplaceAll(base, {{"weight = 1\n", absl::StrCat("weight = ", i + 2, "\n")}});
      const double change_seconds = MeasureChangeSeconds(deployment, names, changed);
      worst = std::max(worst, change_seconds);
      sum += change_seconds;
      Sleep(Seconds(1));
      change_traffic.Sample();
    }
    const double window = ToSeconds(SteadyNow() - begin);
    const double change_micros = TotalMicros(deployment, names) - micros_before;
    const PlatformCalls during = ReadPlatformCalls(deployment) - calls_before;
    delay.points.emplace_back(count, sum / kConfigChanges);
    worst_delay.points.emplace_back(count, worst);
    change_cpu.points.emplace_back(
        count, std::max(0.0, change_micros - idle_micros * window) / kConfigChanges);
    change_bytes.points.emplace_back(
        count, (change_traffic.total() - idle_bytes * window) / kConfigChanges);
    max_process_bytes.points.emplace_back(count, change_traffic.max_by_process() / kConfigChanges);
    // Excludes the two reads per change of this program; its write is counted as neither.
    const double extra_calls = during.reads + during.watches - 2 * kConfigChanges -
                               (idle.reads + idle.watches) / seconds * window;
    change_calls.points.emplace_back(count, std::max(0.0, extra_calls / kConfigChanges));
    resident.points.emplace_back(count, MedianResident(deployment, names));

    deployment.InjectFault("platform", R"({"down":true})");
    Sleep(Seconds(5));
    deployment.InjectFault("platform", R"({"down":false})");
    const TimePoint recovered_at = SteadyNow();
    outage_peak.points.emplace_back(count, PeakCallsPerSecond(deployment, [&]() {
                                      return SteadyNow() - recovered_at > Seconds(4);
                                    }));

    const int64_t revision = CurrentRevision(deployment);
    for (const std::string& name : names) deployment.Signal(name, SIGKILL);
    const PlatformCalls before = ReadPlatformCalls(deployment);
    const absl::Time killed = absl::Now();
    for (const std::string& name : names) deployment.Restart(name);
    absl::Time last = killed;
    const bool all_restarted = Eventually([&]() {
      for (const std::string& name : names) {
        const std::optional<absl::Time> adopted = FindAdoptionTime(deployment, name, revision);
        if (!adopted || *adopted < killed) return false;
        last = std::max(last, *adopted);
      }
      return true;
    });
    if (!all_restarted) {
      throw std::runtime_error(
          absl::StrCat("a restarted process did not adopt revision ", revision, " within 20 s"));
    }
    restart_calls.points.emplace_back(count, (ReadPlatformCalls(deployment) - before).total);
    restart_seconds.points.emplace_back(count, absl::ToDoubleSeconds(last - killed));
  }
  return {reads,           watches,     cpu,        bytes,        max_process_bytes, resident,
          delay,           worst_delay, change_cpu, change_bytes, change_calls,      restart_calls,
          restart_seconds, outage_peak};
}

/// Sends completions from concurrent callers and returns the number of events received. Throws if
/// more than 2 % of the requests fail.
int64_t SendCompletions(Deployment& deployment, int requests, int prompt_tokens, int max_tokens) {
  std::atomic<int> next = 0;
  std::atomic<int64_t> events = 0;
  std::atomic<int> failed = 0;
  std::string first_failure;  // Written by one caller only and read after all have been joined.
  const auto call = [&]() {
    for (int i = next++; i < requests; i = next++) {
      const json::object body{{"model", "model"},
                              {"prompt", testing::MakePrompt(prompt_tokens, i)},
                              {"max_tokens", max_tokens},
                              {"stream", true}};
      const Reply reply = Send("POST", deployment.port("entry0"), "/v1/completions",
                               json::serialize(body), {{"Authorization", "Bearer key-alpha"}});
      if (reply.status != 200 && failed++ == 0) {
        first_failure = absl::StrCat(reply.status, " ", reply.body);
      }
      for (size_t at = 0; (at = reply.body.find("data:", at)) != std::string::npos; ++at) ++events;
    }
  };
  std::vector<std::thread> callers;
  callers.reserve(kConcurrentCallers);
  for (int i = 0; i < kConcurrentCallers; ++i) callers.emplace_back(call);
  for (std::thread& caller : callers) caller.join();
  if (failed > requests / 50)
    throw std::runtime_error(absl::StrCat(failed.load(), " of ", requests,
                                          " requests failed; the first with ", first_failure));
  return events;
}

/// CPU time and events per request.
struct RequestCost {
  double entry_micros = 0;
  double agent_micros = 0;
  double events = 0;  ///< Events received by the caller.
};

/// Measures the cost of requests to one entry with two agents and engine stand-ins.
class RequestBenchmark {
 public:
  RequestBenchmark() : deployment_(Options()) {
    deployment_.Start();
    WriteHostList(deployment_, {"entry0", "agent0", "agent1"});
    deployment_.Apply(RaiseLimits(deployment_.inventory()));
    Sleep(Seconds(2));
    SendCompletions(deployment_, 40, 50, 8);
  }

  /// Returns the minimum of several runs, because other load on the same cores can only add time.
  RequestCost Measure(int requests, int prompt_tokens, int max_tokens) {
    RequestCost cheapest = MeasureOnce(requests, prompt_tokens, max_tokens);
    for (int repetition = 1; repetition < kRepetitions; ++repetition) {
      const RequestCost cost = MeasureOnce(requests, prompt_tokens, max_tokens);
      cheapest.entry_micros = std::min(cheapest.entry_micros, cost.entry_micros);
      cheapest.agent_micros = std::min(cheapest.agent_micros, cost.agent_micros);
    }
    return cheapest;
  }

 private:
  RequestCost MeasureOnce(int requests, int prompt_tokens, int max_tokens) {
    const double entry = TotalMicros(deployment_, {"entry0"});
    const double agents = TotalMicros(deployment_, {"agent0", "agent1"});
    const int64_t events = SendCompletions(deployment_, requests, prompt_tokens, max_tokens);
    return {(TotalMicros(deployment_, {"entry0"}) - entry) / requests,
            (TotalMicros(deployment_, {"agent0", "agent1"}) - agents) / requests,
            static_cast<double>(events) / requests};
  }

  static Deployment::Options Options() {
    Deployment::Options options;
    // An agent keeps at most 1,024 runs, each until its attach window has passed, which limits its
    // request rate. A short window raises the limit.
    options.rules = "attach_window_ms = 500\n";
    options.engine_flags = {"--cold_limit=64", "--max_concurrent=64", "--warm_up_runs=0",
                            "--token_micros=2000", "--prefill_tokens_per_second=100000000"};
    return options;
  }

  Deployment deployment_;
};

std::vector<Slope> MeasureRequests(uint64_t) {
  Slope entry{"request_entry_us", "requests", "us at the entry, 50 prompt and 8 output tokens", {}};
  Slope agent{"request_agent_us", "requests", "us at the agents, the same", {}};
  RequestBenchmark run;
  for (const int requests : {50, 100, 200, 400}) {
    const RequestCost cost = run.Measure(requests, 50, 8);
    entry.points.emplace_back(requests, cost.entry_micros * requests);
    agent.points.emplace_back(requests, cost.agent_micros * requests);
  }
  return {entry, agent};
}

std::vector<Slope> MeasureTokens(uint64_t) {
  Slope entry{"token_entry_us", "output events of a request", "us at the entry per request", {}};
  Slope agent{"token_agent_us", "output events of a request", "us at the agents per request", {}};
  RequestBenchmark run;
  for (const int tokens : {8, 32, 64, 128, 192}) {
    const RequestCost cost = run.Measure(80, 50, tokens);
    entry.points.emplace_back(cost.events, cost.entry_micros);
    agent.points.emplace_back(cost.events, cost.agent_micros);
  }
  return {entry, agent};
}

std::vector<Slope> MeasurePromptLengths(uint64_t) {
  Slope entry{"length_entry_us", "prompt tokens", "us at the entry per request", {}};
  Slope agent{"length_agent_us", "prompt tokens", "us at the agents per request", {}};
  RequestBenchmark run;
  for (const int tokens : {1'000, 2'000, 4'000, 6'000, 8'000}) {
    const RequestCost cost = run.Measure(60, tokens, 2);
    entry.points.emplace_back(tokens, cost.entry_micros);
    agent.points.emplace_back(tokens, cost.agent_micros);
  }
  return {entry, agent};
}

std::vector<Slope> MeasureServiceCalls(uint64_t) {
  Slope reads{"call_reads", "non-idempotent calls", "object reads", {}};
  Slope writes{"call_writes", "non-idempotent calls", "object writes", {}};
  Slope entry{"call_entry_us", "non-idempotent calls", "us at the entry", {}};
  Slope agent{"call_agent_us", "non-idempotent calls", "us at the agents", {}};
  Deployment deployment;
  deployment.Start();
  WriteHostList(deployment, {"entry0", "agent0", "agent1"});
  int key = 0;
  for (const int count : {25, 50, 100, 200}) {
    const PlatformCalls calls = ReadPlatformCalls(deployment);
    const double entry_micros = TotalMicros(deployment, {"entry0"});
    const double agent_micros = TotalMicros(deployment, {"agent0", "agent1"});
    for (int i = 0; i < count; ++i, ++key) {
      const Reply reply = deployment.Book(absl::StrCat("key-", key), absl::StrCat("seat ", key));
      if (reply.status != 200) {
        throw std::runtime_error(
            absl::StrCat("a booking failed with ", reply.status, " ", reply.body));
      }
    }
    entry.points.emplace_back(count, TotalMicros(deployment, {"entry0"}) - entry_micros);
    agent.points.emplace_back(count, TotalMicros(deployment, {"agent0", "agent1"}) - agent_micros);
    Sleep(Millis(500));
    const PlatformCalls during = ReadPlatformCalls(deployment) - calls;
    reads.points.emplace_back(count, during.reads);
    writes.points.emplace_back(count, during.writes);
  }
  return {reads, writes, entry, agent};
}

/// Opens a connection, sends one request and returns the descriptor of the open connection.
int OpenIdleConnection(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  const std::string request = "GET /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  char response[512];
  const bool responded =
      connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      write(descriptor, request.data(), request.size()) > 0 &&
      read(descriptor, response, sizeof(response)) > 0;
  if (!responded) {
    throw std::runtime_error(absl::StrCat("cannot open an idle connection to port ", port));
  }
  return descriptor;
}

std::vector<Slope> MeasureConnections(uint64_t) {
  Slope resident{"connection_resident", "idle connections", "resident bytes of an entry", {}};
  Slope cpu{"connection_cpu", "idle connections", "us per second of an entry", {}};
  Deployment::Options options;
  options.agents = 0;
  options.entries = 2;  // A single process would receive an empty list of peers.
  Deployment deployment(options);
  deployment.Start();
  std::vector<int> open;
  for (const size_t count : {0, 500, 1'000, 2'000, 3'000}) {
    while (open.size() < count) open.push_back(OpenIdleConnection(deployment.port("entry0")));
    Sleep(Millis(500));
    const double micros = TotalMicros(deployment, {"entry0"});
    Sleep(Seconds(5));
    cpu.points.emplace_back(count, (TotalMicros(deployment, {"entry0"}) - micros) / 5);
    resident.points.emplace_back(count, ResidentBytes(deployment.pid("entry0")));
  }
  for (const int descriptor : open) close(descriptor);
  return {resident, cpu};
}

std::vector<Slope> MeasureResidentMemory(uint64_t) {
  Slope entry{"runner_entry_resident", "known runners", "resident bytes of an entry", {}};
  Slope agent{"runner_agent_resident", "known runners", "resident bytes of an agent", {}};
  Slope team_entry{"team_entry_resident", "teams", "resident bytes of an entry", {}};
  Slope team_agent{"team_agent_resident", "teams", "resident bytes of an agent", {}};
  const auto measure = [](const FleetSize& size, double x, Slope& at_entry, Slope& at_agent) {
    Deployment::Options options;
    options.agents = 1;
    Deployment deployment(options);
    deployment.Start();
    const std::vector<std::string> names{"agent0", "entry0"};
    WriteHostList(deployment, names);
    // Several changes, because the heap keeps the memory of replaced configurations.
    for (int i = 0; i < 3; ++i) {
      const std::string text = deployment.inventory() + (i == 0 ? FleetInventoryText(size) : "");
      MeasureChangeSeconds(deployment, names, text);
    }
    at_entry.points.emplace_back(x, ResidentBytes(deployment.pid("entry0")));
    at_agent.points.emplace_back(x, ResidentBytes(deployment.pid("agent0")));
  };
  for (const int runners : {100, 200, 400, 600}) {
    FleetSize size{};
    size.runners = runners;
    size.teams = 0;
    measure(size, runners, entry, agent);
  }
  for (const int teams : {0, 110, 220, 330}) {
    FleetSize size{};
    size.teams = teams;
    measure(size, teams, team_entry, team_agent);
  }
  return {entry, agent, team_entry, team_agent};
}

std::vector<Slope> MeasureRunnersPerAgent(uint64_t) {
  Slope cpu{"own_runner_cpu", "runners beside the agent", "us per second of an idle agent", {}};
  Slope bytes{"own_runner_bytes", "runners beside the agent", "bytes/s of an idle agent", {}};
  for (const int runners : {1, 2, 4, 8}) {
    Deployment::Options options;
    options.agents = 1;
    Deployment deployment(options);
    deployment.Start();
    const std::vector<std::string> names{"agent0", "entry0"};
    WriteHostList(deployment, names);
    std::string text = deployment.inventory();
    for (int i = 1; i < runners; ++i) {
      absl::StrAppend(&text, "[runner further", i, "]\nhost = agent0\nmodel = model\n",
                      "address = 127.0.0.1\nport = ", deployment.port("engine0"), "\n");
    }
    MeasureChangeSeconds(deployment, names, text);
    Sleep(kSettleDelay);
    TrafficMeter traffic(Pids(deployment, {"agent0"}));
    traffic.Sample();
    const double micros = TotalMicros(deployment, {"agent0"});
    Sleep(kIdlePeriod);
    cpu.points.emplace_back(
        runners, (TotalMicros(deployment, {"agent0"}) - micros) / ToSeconds(kIdlePeriod));
    traffic.Sample();
    bytes.points.emplace_back(runners, traffic.total() / ToSeconds(kIdlePeriod));
  }
  return {cpu, bytes};
}

}  // namespace

std::vector<Experiment> ProcessExperiments() {
  return {{"fleets", "10, 20, 40 and 80 entries and the platform stand-in", &MeasureFleets},
          {"requests", "1 entry, 2 agents and stand-ins", &MeasureRequests},
          {"tokens", "1 entry, 2 agents and stand-ins", &MeasureTokens},
          {"prompt_lengths", "1 entry, 2 agents and stand-ins", &MeasurePromptLengths},
          {"service_calls", "1 entry, 2 agents and stand-ins", &MeasureServiceCalls},
          {"connections", "2 entries and the platform stand-in", &MeasureConnections},
          {"resident", "1 entry, 1 agent and stand-ins", &MeasureResidentMemory},
          {"own_runners", "1 entry, 1 agent and stand-ins", &MeasureRunnersPerAgent}};
}

}  // namespace fuchsiaweir::capacity
