#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>

namespace review {
namespace {

namespace json = boost::json;

constexpr char kBinary[] = "target/fuchsiaweir";
constexpr char kHost[] = "house.example";
// The ports of a process, as in the example of the settings on the page DEPLOY.
constexpr uint16_t kCallersPort = 8005;
constexpr uint16_t kReadyPort = 8002;
constexpr uint16_t kPeerPort = 7700;
constexpr uint16_t kMetricsPort = 9464;
constexpr int64_t kMaxDescriptors = 2870;
constexpr int64_t kReadyPollMs = 50;
constexpr int64_t kReadyTimeoutMs = 1000;
constexpr int64_t kStopTimeoutMs = 3000;
/// Clients wait a little longer than the time that they announce.
constexpr int64_t kClientSlackMs = 3000;

bool PortIsFree(const std::string& ip, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return free;
}

/// Returns a loopback address on which all ports of a process are free.
std::string FreeAddress() {
  static std::mt19937 random(std::random_device{}());
  while (true) {
    const std::string ip = "127." + std::to_string(16 + random() % 200) + "." +
                           std::to_string(random() % 250) + "." +
                           std::to_string(1 + random() % 250);
    bool free = true;
    for (const uint16_t port : {kCallersPort, kReadyPort, kPeerPort, kMetricsPort}) {
      free = free && PortIsFree(ip, port);
    }
    if (free) return ip;
  }
}

}  // namespace

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::string line = std::to_string(NowMs());
  line.insert(0, line.size() < 7 ? 7 - line.size() : 0, ' ');
  line += " ms  " + text + "\n";
  out_ << line << std::flush;
  std::cout << line << std::flush;
}

Deployment::Deployment(Address store, Zones zones)
    : store_(std::move(store)), zones_(std::move(zones)) {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) std::exit(kNotRun);
  directory_ = pattern;
}

Deployment::~Deployment() {
  for (auto& [name, process] : processes_) {
    if (!Ended(name).empty()) continue;
    kill(process.pid, SIGCONT);
    kill(process.pid, SIGTERM);
  }
  const int64_t until = NowMs() + kStopTimeoutMs;
  for (auto& [name, process] : processes_) {
    while (Ended(name).empty() && NowMs() < until) SleepMs(20);
    if (Ended(name).empty()) {
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
    }
  }
  std::filesystem::remove_all(directory_);
}

std::string Deployment::Start(const std::string& role, const std::string& zone,
                              const std::string& process_lines) {
  const std::string name = role + "-" + zone + "-" + std::to_string(processes_.size() + 1);
  Process& process = processes_[name];
  process.role = role;
  process.ip = FreeAddress();
  std::string lines = process_lines;
  for (size_t at = 0; (at = lines.find("IP:", at)) != std::string::npos;) {
    lines.replace(at, 2, process.ip);
  }
  // As the template in deploy/ gives it, with the bounds of the page SYSTEM.
  std::ofstream settings(directory_ + "/" + name + ".ini");
  settings << "[process]\nname = " << name << "\naddress = " << process.ip
           << "\ndata_centre = " << zone << "\n"
           << lines << "peer_port = " << kPeerPort << "\nmax_descriptors = " << kMaxDescriptors
           << "\n\n[platform]\nstore = " << store_.Text() << "\n\n[bounds]\n";
  if (role == "gateway") {
    settings << "key_revocation_ms = 5000\nretry_ratio = 0.2\nretry_slack = 116\n";
  }
  settings << "shutdown_s = 8\nweights_ms = 12000\n\n[regions]\n";
  for (const auto& [each, region] : zones_) settings << each << " = " << region << "\n";
  settings.close();
  Spawn(name);
  return name;
}

void Deployment::Spawn(const std::string& name) {
  Process& process = processes_.at(name);
  process.ended.clear();
  const std::string log = directory_ + "/" + name + ".log";
  const std::string settings = "--settings=" + directory_ + "/" + name + ".ini";
  const pid_t parent = getpid();
  process.pid = fork();
  if (process.pid != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kNotRun);
  const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execl(kBinary, kBinary, process.role.c_str(), settings.c_str(), nullptr);
  _exit(kNotRun);
}

std::string Deployment::StartGateway(const std::string& zone) {
  return Start("gateway", zone,
               "callers = IP:" + std::to_string(kCallersPort) +
                   "\nreadiness = IP:" + std::to_string(kReadyPort) + "\n");
}

std::string Deployment::StartSidecar(const std::string& zone, const Address& runner) {
  return Start("sidecar", zone, "runner = " + runner.Text() + "\n");
}

bool Deployment::Ready(const std::string& name) {
  const std::unique_ptr<Connection> connection = Connect({processes_.at(name).ip, kReadyPort});
  if (connection == nullptr) return false;
  connection->Send(EncodeRequest("GET", "/ready", {{"Host", "ready"}}, ""));
  return ReadMessage(*connection, kReadyTimeoutMs).status() == 200;
}

bool Deployment::WaitReady(const std::string& name, int64_t timeout_ms) {
  const int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until && Ended(name).empty()) {
    if (Ready(name)) return true;
    SleepMs(kReadyPollMs);
  }
  return false;
}

Address Deployment::callers(const std::string& name) const {
  return {processes_.at(name).ip, kCallersPort};
}

Address Deployment::peer(const std::string& name) const {
  return {processes_.at(name).ip, kPeerPort};
}

void Deployment::Signal(const std::string& name, int signal) {
  if (Ended(name).empty()) kill(processes_.at(name).pid, signal);
}

void Deployment::Restart(const std::string& name) {
  while (Ended(name).empty()) SleepMs(10);
  Spawn(name);
}

std::string Deployment::Ended(const std::string& name) {
  Process& process = processes_.at(name);
  if (!process.ended.empty()) return process.ended;
  int status = 0;
  if (waitpid(process.pid, &status, WNOHANG) != process.pid) return "";
  process.ended = WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status))
                                      : "ended with code " + std::to_string(WEXITSTATUS(status));
  return process.ended;
}

int64_t Deployment::MemoryMb(const std::string& name) const {
  std::ifstream status("/proc/" + std::to_string(processes_.at(name).pid) + "/status");
  const std::string field = "VmRSS:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field)) return std::atoll(line.c_str() + field.size()) / 1000;
  }
  return 0;
}

std::string Deployment::Log(const std::string& name) const {
  std::ifstream file(directory_ + "/" + name + ".log");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

json::object MakeRoute(const std::string& path_prefix, const std::string& kind,
                       const std::string& service, int attempts) {
  return {{"name", service + "-" + kind},
          {"host", kHost},
          {"path_prefix", path_prefix},
          {"kind", kind},
          {"timeout_ms", 10'000},
          {"slo_ms", 1000},
          {"priority", 1},
          {"service", service},
          {"attempts", attempts},
          {"anonymous", false},
          {"sticky", false},
          {"can_resume", kind == "stream"}};
}

json::object MakeDesiredState(int64_t version, json::array routes,
                              const std::vector<std::string>& services, json::array tenants) {
  json::array service_list;
  for (const std::string& name : services) {
    service_list.push_back(json::object{{"name", name}, {"cold_s", 0.0}, {"cold_per_s", 0.0}});
  }
  return {{"version", version},
          {"routes", std::move(routes)},
          {"services", std::move(service_list)},
          {"limits",
           {{"header_bytes", 16'384},
            {"body_bytes", 4'194'304},
            {"header_timeout_ms", 5'000},
            {"idle_timeout_ms", 20'000}}},
          {"tenants", std::move(tenants)}};
}

json::object MakeTenant(const std::string& name, const std::vector<std::string>& keys) {
  return {{"name", name}, {"api_keys", json::array(keys.begin(), keys.end())}};
}

Answer Client::Send(const std::string& method, const std::string& path, const std::string& id,
                    const std::string& key, const std::string& body, int64_t deadline_ms,
                    const Headers& more) {
  if (connection_ == nullptr || connection_->PeerClosed()) connection_ = Connect(gateway_);
  Answer answer;
  if (connection_ == nullptr) {
    answer.problem = "no connection";
    return answer;
  }
  Headers headers{{"Host", kHost},
                  {"X-Fuchsiaweir-Request-Id", id},
                  {"X-Fuchsiaweir-Deadline-Ms", std::to_string(deadline_ms)}};
  if (!key.empty()) headers.emplace_back("Api-Key", key);
  headers.insert(headers.end(), more.begin(), more.end());
  if (!connection_->Send(EncodeRequest(method, path, headers, body))) {
    answer.problem = "connection closed while sending";
    connection_.reset();
    return answer;
  }
  Message response = ReadMessage(*connection_, deadline_ms + kClientSlackMs);
  answer.status = response.status();
  answer.complete = response.complete;
  answer.headers = response.headers;
  answer.body = response.body;
  if (!response.complete) {
    answer.problem = connection_->timed_out ? "no complete answer in time"
                                            : "connection closed without a complete answer";
  }
  const bool close = Field(response.headers, "Connection") == "close";
  if (!response.complete || close) connection_.reset();
  return answer;
}

}  // namespace review
