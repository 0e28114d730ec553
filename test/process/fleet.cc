#include "process/fleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <sstream>

#include "platform/names.h"

namespace fuchsiaweir::testing {
namespace {

namespace json = boost::json;

Deployment::Options OnlyProcesses() {
  Deployment::Options options;
  options.agents = 0;
  options.entries = 0;
  return options;
}

json::object MakeRoute(const char* name, const char* kind, int attempts, bool resumable) {
  return {{"name", name},
          {"host", "fleet.example"},
          {"path_prefix", absl::StrCat("/", name, "/")},
          {"kind", kind},
          {"timeout_ms", 3'000},
          {"slo_ms", 400},
          {"priority", 1},
          {"service", "llm"},
          {"attempts", attempts},
          {"anonymous", false},
          {"sticky", false},
          {"can_resume", resumable}};
}

}  // namespace

Fleet::Fleet(int gateways, int runners, bool sidecars)
    : processes_(OnlyProcesses()),
      store_port_(FreePort()),
      second_store_port_(FreePort()),
      sidecars_(sidecars) {
  for (int i = 0; i < gateways; ++i) {
    gateways_.push_back({FreePort(), FreePort(), FreePort(), FreePort()});
  }
  for (int i = 0; i < runners; ++i) {
    runners_.push_back(FreePort());
    listed_.push_back(runners_.back());
    sidecar_metrics_.push_back(FreePort());
  }
}

void Fleet::Start() {
  processes_.StartProcess(
      "store", {std::getenv("FW_STANDIN"), "fleet_store", absl::StrCat("--port=", store_port_),
                absl::StrCat("--second_port=", second_store_port_)});
  for (size_t i = 0; i < runners_.size(); ++i) StartRunner(static_cast<int>(i));
  Eventually([&]() { return Send("GET", store_port_, "/objects/config").status == 200; });
  PutDesiredState({"key-1", "key-2"});
  for (size_t i = 0; i < runners_.size(); ++i) {
    const int runner = static_cast<int>(i);
    Eventually([&]() { return Answers(runner); });
    ListRunner(runner);
  }
  for (size_t i = 0; i < gateways_.size(); ++i) {
    const std::string name = absl::StrCat("gateway", i);
    StartDaemon("gateway", name,
                absl::StrCat("callers = 127.0.0.1:", gateways_[i].callers,
                             "\nreadiness = 127.0.0.1:", gateways_[i].readiness, "\n"),
                gateways_[i].peer, gateways_[i].metrics,
                gateways_[i].second_store_port ? second_store_port_ : store_port_);
  }
  for (size_t i = 0; sidecars_ && i < runners_.size(); ++i) {
    StartDaemon("sidecar", absl::StrCat("sidecar", i),
                absl::StrCat("runner = 127.0.0.1:", listed_[i], "\n"), FreePort(),
                sidecar_metrics_[i], sidecars_at_second_port_ ? second_store_port_ : store_port_);
  }
  for (size_t i = 0; i < gateways_.size(); ++i) {
    Eventually([&]() { return Ready(static_cast<int>(i)); });
  }
}

void Fleet::StartRunner(int runner, int64_t started_ms) {
  const std::string id = absl::StrCat("runner", runner);
  std::vector<std::string> command{
      std::getenv("FW_STANDIN"), "fleet_runner",
      absl::StrCat("--port=", runners_.at(static_cast<size_t>(runner))),
      absl::StrCat("--instance=", id), absl::StrCat("--started_ms=", started_ms)};
  if (record_runs_) command.emplace_back("--record_runs");
  processes_.StartProcess(id, command);
}

void Fleet::StartDaemon(const std::string& role, const std::string& name,
                        const std::string& process, int peer, int metrics, int store) {
  const std::string file = absl::StrCat(directory(), "/", name, ".ini");
  std::ofstream(file) << "[process]\nname = " << name << "\naddress = 127.0.0.1\n"
                      << "data_centre = east\npeer_port = " << peer
                      << "\nmetrics_port = " << metrics << "\n"
                      << process << "[platform]\nstore = 127.0.0.1:" << store
                      << "\n[bounds]\nkey_revocation_ms = " << ToMillis(key_revocation_)
                      << "\nshutdown_s = 8\n"
                      << bounds_ << "[regions]\neast = region\n";
  processes_.StartProcess(name, {std::getenv("FW_BINARY"), role, "--settings=" + file});
}

bool Fleet::Put(const std::string& kind, const std::string& name, const json::value& spec) {
  const std::string body = json::serialize(json::object{{"spec", spec}});
  const std::string path = absl::StrCat("/objects/", kind, "/", name);
  return Send("PUT", store_port_, path, body, {}, call_timeout_).status == 200;
}

bool Fleet::Delete(const std::string& kind, const std::string& name) {
  const std::string path = absl::StrCat("/objects/", kind, "/", name);
  return Send("DELETE", store_port_, path, "", {}, call_timeout_).status == 200;
}

std::string Fleet::StateOf(const std::string& kind, const std::string& name) {
  const std::string path = absl::StrCat("/objects/", kind, "/", name);
  const Reply reply = Send("GET", store_port_, path, "", {}, call_timeout_);
  if (reply.status != 200) return "";
  const json::object object = reply.json();
  const json::object* status = object.at("status").if_object();
  return status == nullptr ? "" : std::string(status->at("state").as_string());
}

bool Fleet::ListRunner(int runner, const std::string& state, int cold_ms, int64_t started_ms) {
  const std::string id = absl::StrCat("runner", runner);
  return Put(
      platform::kRunnerKind, id,
      json::object{{"service", "llm"},
                   {"addr", absl::StrCat("127.0.0.1:", listed_.at(static_cast<size_t>(runner)))},
                   {"zone", "east"},
                   {"version", versions_.count(runner) > 0 ? versions_.at(runner) : "v1"},
                   {"slots", 8},
                   {"state", state},
                   {"cold_left_ms", cold_ms},
                   {"born", started_ms},
                   {"models", json::array{{{"name", "model"}, {"version", 1}}}},
                   {"seq", ++sequence_}});
}

bool Fleet::PutDesiredState(const std::vector<std::string>& keys, int further_routes) {
  json::array routes{MakeRoute("safe", "safe", 2, false), MakeRoute("unsafe", "unsafe", 1, false),
                     MakeRoute("stream", "stream", 2, true),
                     MakeRoute("single", "stream", 1, false)};
  for (int i = 0; i < further_routes; ++i) {
    routes.push_back(MakeRoute(absl::StrCat("further", i).c_str(), "safe", 2, false));
  }
  json::array key_list(keys.begin(), keys.end());
  revision_ += 3;
  desired_state_ = json::object{
      {"version", revision_},
      {"routes", std::move(routes)},
      {"services", json::array{{{"name", "llm"}, {"cold_s", 3.0}, {"cold_per_s", 4.0}}}},
      {"limits",
       {{"header_bytes", 16'384},
        {"body_bytes", body_bytes_},
        {"header_timeout_ms", read_timeout_ms_},
        {"idle_timeout_ms", 15'000}}},
      {"tenants", json::array{{{"name", "alpha"}, {"api_keys", std::move(key_list)}}}}};
  return PutDesiredStateAgain();
}

bool Fleet::PutDesiredStateAgain() { return Put(platform::kConfigKind, "main", desired_state_); }

Reply Fleet::Call(const std::string& path, const std::string& body, int gateway,
                  const std::string& key, int deadline_ms) {
  static std::atomic<int64_t> calls = 0;
  return Send("POST", caller_port(gateway), path, body,
              {{"Host", "fleet.example"},
               {platform::kRequestIdHeader, absl::StrCat("call-", ++calls)},
               {platform::kTimeLeftHeader, absl::StrCat(deadline_ms)},
               {platform::kApiKeyHeader, key}});
}

Reply Fleet::CallWithId(const std::string& path, const std::string& body, const std::string& id) {
  return Send("POST", caller_port(0), path, body,
              {{"Host", "fleet.example"},
               {platform::kRequestIdHeader, id},
               {platform::kTimeLeftHeader, "3000"},
               {platform::kApiKeyHeader, "key-1"}});
}

std::string Fleet::CallForBytes(const std::string& path, const std::string& body, int gateway,
                                const std::string& id, const HttpHeaders& fields) {
  static std::atomic<int64_t> calls = 0;
  std::string request = absl::StrCat(
      "POST ", path, " HTTP/1.1\r\nHost: fleet.example\r\nConnection: close\r\n",
      platform::kRequestIdHeader, ": ", id.empty() ? absl::StrCat("bytes-", ++calls) : id, "\r\n",
      platform::kTimeLeftHeader, ": 3000\r\n", platform::kApiKeyHeader,
      ": key-1\r\nContent-Length: ", body.size(), "\r\n");
  for (const auto& [name, value] : fields) absl::StrAppend(&request, name, ": ", value, "\r\n");
  absl::StrAppend(&request, "\r\n", body);
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  const auto port = static_cast<uint16_t>(caller_port(gateway));
  socket.connect({boost::asio::ip::address_v4::loopback(), port});
  boost::asio::write(socket, boost::asio::buffer(request));
  std::string received;
  boost::system::error_code end;
  boost::asio::read(socket, boost::asio::dynamic_buffer(received), end);
  return received;
}

bool Fleet::Ready(int gateway) {
  const int port = gateways_.at(static_cast<size_t>(gateway)).readiness;
  return Send("GET", port, platform::kReadyPath, "", {}, Seconds(1)).status == 200;
}

bool Fleet::InjectFault(const std::string& name, const std::string& json) {
  const std::string prefix = "runner";
  const int port =
      name == "store" ? store_port_ : runners_.at(std::stoul(name.substr(prefix.size())));
  return Send("POST", port, "/fault", json, {}, call_timeout_).status == 200;
}

void Fleet::CopyStore() { InjectFault("store", R"({"save_copy": true})"); }

bool Fleet::RestoreStore(Duration away) {
  return InjectFault("store", absl::StrCat(R"({"restore_copy": )", ToMillis(away), "}"));
}

void Fleet::SkipStoreRevisions(int64_t count) {
  InjectFault("store", absl::StrCat(R"({"skip_revisions": )", count, "}"));
}

json::object Fleet::StoreStats() { return Send("GET", store_port_, "/stats").json(); }

int64_t Fleet::PeakMemoryMb(const std::string& name) const {
  std::ifstream file(absl::StrCat("/proc/", processes_.pid(name), "/status"));
  const std::string field = "VmHWM:";
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(field)) return std::stoll(line.substr(field.size())) / 1'024;
  }
  return 0;
}

std::string Fleet::Log(const std::string& name) const {
  std::ifstream file(absl::StrCat(directory(), "/", name, ".log"));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

bool Fleet::AllGatewaysLogged(const std::string& text) const {
  for (size_t i = 0; i < gateways_.size(); ++i) {
    if (Log(absl::StrCat("gateway", i)).find(text) == std::string::npos) return false;
  }
  return true;
}

bool Fleet::Answers(int runner) {
  return Send("GET", runners_.at(static_cast<size_t>(runner)), "/stats").status == 200;
}

int64_t Fleet::MostArrivals(int runner, TimePoint since, Duration window) {
  std::deque<int64_t> recent;
  size_t most = 0;
  const json::object stats = Stats(runner);
  for (const json::value& item : stats.at("arrivals_ms").as_array()) {
    const int64_t at_ms = item.to_number<int64_t>();
    if (at_ms < ToMillis(since.time_since_epoch())) continue;
    while (!recent.empty() && at_ms - recent.front() >= ToMillis(window)) recent.pop_front();
    recent.push_back(at_ms);
    most = std::max(most, recent.size());
  }
  return static_cast<int64_t>(most);
}

json::object Fleet::Stats(int runner) {
  return Send("GET", runners_.at(static_cast<size_t>(runner)), "/stats").json();
}

}  // namespace fuchsiaweir::testing
