#ifndef FUCHSIAWEIR_NET_OPERATOR_SESSION_H_
#define FUCHSIAWEIR_NET_OPERATOR_SESSION_H_

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/config_document.h"
#include "core/inventory.h"
#include "core/peer_auth.h"
#include "core/result.h"
#include "net/awaitable.h"
#include "net/host_list.h"
#include "net/http_client.h"
#include "net/object_api.h"
#include "net/tls_context.h"

namespace fuchsiaweir {

/// Exit codes of the operator commands.
enum class ExitCode {
  kDone = 0,
  kFailed = 1,
  kFindings = 2,    ///< The inventory or an argument is invalid; nothing changed.
  kConflict = 3,    ///< Another change was accepted first; this one had no effect.
  kNotInForce = 4,  ///< Some processes did not confirm the change in time.
  kUsage = 64,
};

/// Returns the exit code of a command that failed with `error`.
ExitCode ExitCodeOf(const Error& error);

/// Operands of a command, without its name and flags.
using Operands = std::vector<std::string>;

/// Options of an operator command, from its flags and the settings file.
struct OperatorOptions {
  Endpoint platform;            ///< Port 0 if none is configured.
  std::vector<Endpoint> peers;  ///< Queried when the platform does not respond.
  std::string who;
  bool json = false;
  bool wait = false;
  int64_t base_revision = -1;  ///< -1: the revision in force.
  Duration timeout{0};
  Duration tighten_validity{0};
  TlsContext tls;
  std::optional<PeerKey> peer_key;  ///< Signs requests to processes; from the settings' key file.
  std::string sender_host;          ///< Host of the settings; sender of signed requests.
};

/// The configuration object as read from the platform; version 0 if it does not exist.
struct VersionedConfig {
  ConfigDocument document;
  int64_t version = 0;
};

/// Connections and options of one operator command.
class OperatorSession {
 public:
  OperatorSession(boost::asio::io_context& io, OperatorOptions options);

  boost::asio::io_context& io() { return io_; }
  const OperatorOptions& options() const { return options_; }
  HttpClient& peers() { return peers_; }
  ObjectApi& objects() { return objects_; }

  /// Reads the configuration from the platform.
  Awaitable<Result<VersionedConfig>> ReadPlatformConfig();
  /// Reads the configuration from the platform or, if that fails, the newest one from the peers.
  Awaitable<Result<ConfigDocument>> ReadConfigWithPeerFallback();
  /// Reads an audit page from the platform.
  Awaitable<Result<AuditPage>> ReadAuditPage(int64_t page_number);
  /// Reads the platform's host list; returns an empty list if it cannot be read.
  Awaitable<std::vector<ListedHost>> ReadHostList();

  /// Prints `text` or, with --output=json, `object`.
  void Print(const std::string& text, const boost::json::object& object) const;
  /// Prints an error to standard error in the selected format and returns its exit code.
  ExitCode ReportError(const Error& error) const;

 private:
  boost::asio::io_context& io_;
  OperatorOptions options_;
  HttpClient platform_client_;
  HttpClient peers_;
  HttpObjectApi objects_;
  HttpHostList host_list_;
};

using CommandBody = std::function<Awaitable<ExitCode>(OperatorSession&)>;

/// Runs a command with a session created from the flags; returns kUsage if the flags are invalid.
ExitCode RunInSession(const CommandBody& command);

/// Parses the inventory of a document. Fails with kInternal if it is invalid, which the checks
/// before a change rule out.
Result<Inventory> ParseDocumentInventory(const ConfigDocument& document);

/// Returns the name of the settings file from --settings; empty if the flag is not set.
std::string SettingsFlag();

/// Returns whether --output=json is set.
bool JsonOutput();

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_OPERATOR_SESSION_H_
