#ifndef FUCHSIAWEIR_TEST_PROCESS_LONE_PROCESS_H_
#define FUCHSIAWEIR_TEST_PROCESS_LONE_PROCESS_H_

#include <sys/socket.h>

#include <string>

#include "process/deployment.h"

namespace fuchsiaweir::testing {

/// A loopback port that another process seems to hold.
class HeldPort {
 public:
  /// `type` is SOCK_STREAM or SOCK_DGRAM.
  HeldPort(int port, int type);
  ~HeldPort() { Release(); }
  HeldPort(const HeldPort&) = delete;
  HeldPort& operator=(const HeldPort&) = delete;

  void Release();

 private:
  int socket_;
};

/// A gateway or sidecar without store and runners, for tests of its start and its end.
class LoneProcess {
 public:
  explicit LoneProcess(const std::string& role = "gateway");

  const std::string& file() const { return file_; }
  /// Replaces the text of the settings file, which is complete at first.
  void Write(const std::string& text) const;
  void Append(const std::string& text) const;
  /// The complete settings.
  const std::string& settings() const { return settings_; }

  void Start() { processes_.StartProcess(kName, command_); }
  /// Starts it with a redirection of the shell, such as ">&-".
  void StartRedirected(const std::string& redirection);
  void Signal(int signal) { processes_.Signal(kName, signal); }
  /// Waits for the end; returns the exit code, or -1 if a signal ended the process.
  int Wait() { return processes_.Wait(kName); }
  int pid() const { return processes_.pid(kName); }
  std::string Log() const;
  /// Waits until the log contains the text.
  bool Logs(const std::string& text) const;
  const std::string& directory() const { return processes_.directory(); }

  int callers_port() const { return callers_port_; }
  int readiness_port() const { return readiness_port_; }
  int peer_port() const { return peer_port_; }
  int metrics_port() const { return metrics_port_; }

 private:
  static constexpr char kName[] = "gateway0";

  Deployment processes_;
  int callers_port_;
  int readiness_port_;
  int peer_port_;
  int metrics_port_;
  std::string file_;
  std::string settings_;
  std::vector<std::string> command_;
};

/// Returns the text of a file; empty if it cannot be read.
std::string ReadText(const std::string& file);

}  // namespace fuchsiaweir::testing

#endif  // FUCHSIAWEIR_TEST_PROCESS_LONE_PROCESS_H_
