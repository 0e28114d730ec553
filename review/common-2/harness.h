#ifndef FUCHSIAWEIR_REVIEW_COMMON_2_HARNESS_H_
#define FUCHSIAWEIR_REVIEW_COMMON_2_HARNESS_H_

#include "standins.h"

// The programs under test, started as DEPLOY says, their clients and desired states.
namespace review {

/// Gateways and sidecars as processes.
class Deployment {
 public:
  /// `zones` holds the region of each zone.
  Deployment(Address store, std::map<std::string, std::string> zones)
      : store_(std::move(store)), zones_(std::move(zones)) {
    char directory[] = "/tmp/review-2-XXXXXX";
    directory_ = mkdtemp(directory);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Ends all processes, then this one: the threads of the stand-ins would outlive their objects.
  [[noreturn]] void End(int exit_code) {
    for (auto& [name, process] : processes_) {
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
      unlink((directory_ + "/" + name + ".ini").c_str());
      unlink((directory_ + "/" + name + ".log").c_str());
    }
    rmdir(directory_.c_str());
    std::_Exit(exit_code);
  }

  /// Memory of the machines of processes that are started from now on.
  int memory_mb = 182;

  /// Starts a gateway. Returns the address for callers.
  Address StartGateway(const std::string& name, const std::string& zone) {
    const std::string ip = NextIp();
    Process process{"gateway", 0, {ip, FreePort(ip)}, {ip, FreePort(ip)}};
    Start(name, zone, ip, process,
          "callers = " + process.callers.text() + "\nreadiness = " + process.ready.text() + "\n");
    return process.callers;
  }
  void StartSidecar(const std::string& name, const std::string& zone, const Address& runner) {
    Process process{"sidecar", 0, {}, {}};
    Start(name, zone, NextIp(), process, "runner = " + runner.text() + "\n");
  }
  void Signal(const std::string& name, int signal) { kill(processes_.at(name).pid, signal); }
  /// Waits for the end of the process and starts it again.
  void Restart(const std::string& name) {
    waitpid(processes_.at(name).pid, nullptr, 0);
    Spawn(name);
  }
  /// Resident memory of the process in bytes, as the kernel reports it; 0 once it has ended.
  int64_t MemoryBytes(const std::string& name) const {
    std::ifstream status("/proc/" + std::to_string(processes_.at(name).pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind("VmRSS:", 0) == 0) return std::atoll(line.c_str() + 6) * 1024;
    }
    return 0;
  }
  /// Waits until the platform would give the gateway new channels.
  bool WaitReady(const std::string& name, int64_t timeout_ms = 20'000) {
    const int64_t until = NowMs() + timeout_ms;
    while (NowMs() < until) {
      if (Get(processes_.at(name).ready, "/ready") == 200) return true;
      SleepMs(100);
    }
    return false;
  }

 private:
  struct Process {
    std::string role;
    pid_t pid = 0;
    Address callers;
    Address ready;
  };

  static int Get(const Address& address, const std::string& path) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    Connection connection(fd);
    sockaddr_in to = ToSockaddr(address);
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) return 0;
    if (!connection.Send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")) return 0;
    const std::optional<Message> answer = connection.Read(NowMs() + 1000);
    return answer ? answer->status() : 0;
  }

  void Start(const std::string& name, const std::string& zone, const std::string& ip,
             Process process, const std::string& process_lines) {
    std::ofstream file(directory_ + "/" + name + ".ini");
    file
        << "[process]\nname = " << name << "\naddress = " << ip << "\ndata_centre = " << zone
        << "\n"
        << process_lines << "peer_port = " << PeerPort()
        << "\nmax_descriptors = 2870\nmemory_mb = " << memory_mb
        << "\n\n[platform]\nstore = " << store_.text() << "\n\n[bounds]\n"
        << (process.role == "gateway"
                ? "key_revocation_ms = 5000\nshutdown_s = 8\nretry_ratio = 0.2\nretry_slack = 116\n"
                : "shutdown_s = 8\n")
        << "weights_ms = 12000\n\n[regions]\n";
    for (const auto& [each, region] : zones_) file << each << " = " << region << "\n";
    file.close();
    processes_[name] = process;
    Spawn(name);
  }

  /// Ports are the same on all machines.
  int PeerPort() {
    if (peer_port_ == 0) peer_port_ = FreePort(NextIp());
    return peer_port_;
  }

  void Spawn(const std::string& name) {
    Process& process = processes_.at(name);
    const std::string settings = "--settings=" + directory_ + "/" + name + ".ini";
    const std::string log = directory_ + "/" + name + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the driver, however that ends.
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl("target/fuchsiaweir", "target/fuchsiaweir", process.role.c_str(), settings.c_str(),
            nullptr);
      std::_Exit(127);
    }
    process.pid = pid;
  }

  Address store_;
  std::map<std::string, std::string> zones_;
  std::string directory_;
  int peer_port_ = 0;
  std::map<std::string, Process> processes_;
};

/// A request of a client, on a new channel. `headers` come after the usual ones.
inline std::optional<Message> Request(const Address& gateway, const std::string& path,
                                      const std::string& id, const std::string& key,
                                      const std::string& prefix, const Headers& headers = {},
                                      const std::string& body = "body") {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Connection connection(fd);
  sockaddr_in to = ToSockaddr(gateway);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) return std::nullopt;
  int64_t tokens = 0;
  for (const PromptPart& part : ParseParts(prefix)) tokens += part.tokens;
  std::ostringstream out;
  out << "POST " << path << " HTTP/1.1\r\nHost: calls.example\r\nX-Fuchsiaweir-Request-Id: " << id
      << "\r\nX-Fuchsiaweir-Deadline-Ms: 5000\r\nX-Fuchsiaweir-Model: model-1\r\n"
      << "X-Fuchsiaweir-Token-Count: " << tokens << ",20\r\nX-Fuchsiaweir-Prompt-Prefix: " << prefix
      << "\r\n";
  if (!key.empty()) out << "Api-Key: " << key << "\r\n";
  for (const auto& [name, value] : headers) out << name << ": " << value << "\r\n";
  out << "Content-Length: " << body.size() << "\r\n\r\n" << body;
  if (!connection.Send(out.str())) return std::nullopt;
  return connection.Read(NowMs() + 6000);
}

inline json::object StreamRoute(const std::string& prefix, const std::string& service) {
  return json::object{{"name", "r" + service}, {"host", "calls.example"}, {"path_prefix", prefix},
                      {"kind", "stream"},      {"timeout_ms", 5000},      {"slo_ms", 800},
                      {"priority", 1},         {"service", service},      {"attempts", 2},
                      {"anonymous", false},    {"sticky", true},          {"can_resume", true},
                      {"gap_slo_ms", 400}};
}

inline json::object EngineService(const std::string& name) {
  const json::object model{{"name", "model-1"}};
  return json::object{{"name", name},
                      {"health_path", "/health"},
                      {"max_conns", 200},
                      {"protocol", "h1"},
                      {"tls", false},
                      {"cold_s", 0.0},
                      {"cold_per_s", 0.0},
                      {"engine", json::object{{"slots", 16},
                                              {"kv_capacity", 1'000'000},
                                              {"kv_bytes", 35136},
                                              {"link_mbps", 550000.0},
                                              {"managed", true},
                                              {"max_inflight", 12},
                                              {"models", json::array{model}}}}};
}

inline json::object DesiredState(int64_t version, json::array routes, json::array services,
                                 json::array tenants) {
  return json::object{{"version", version},
                      {"routes", std::move(routes)},
                      {"services", std::move(services)},
                      {"limits", json::object{{"header_bytes", 16384},
                                              {"body_bytes", 4194304},
                                              {"header_timeout_ms", 3000},
                                              {"idle_timeout_ms", 15000}}},
                      {"tenants", std::move(tenants)}};
}

inline json::object Tenant(const std::string& name, const std::string& key) {
  return json::object{{"name", name}, {"api_keys", json::array{key}}};
}

}  // namespace review

#endif  // FUCHSIAWEIR_REVIEW_COMMON_2_HARNESS_H_
