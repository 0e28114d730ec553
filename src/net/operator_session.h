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
  kFindings = 2,    ///< The inventory or an argument was found invalid; nothing changed.
  kConflict = 3,    ///< Another change was accepted first; nothing of this one took effect.
  kNotInForce = 4,  ///< Accepted, but some processes did not confirm it in time.
  kUsage = 64,
};

/// Returns the exit code for the error that ended a command.
ExitCode ExitCodeOf(const Error& error);

/// The operands of a command, without its name and the flags.
using Operands = std::vector<std::string>;

/// What the operator's flags ask for.
struct OperatorOptions {
  Endpoint platform;            ///< Port 0: none was given.
  std::vector<Endpoint> peers;  ///< Processes to ask when the platform does not answer.
  std::string who;
  bool json = false;
  bool wait = false;
  int64_t base = -1;  ///< -1: the revision that the command reads.
  Duration timeout{0};
  Duration tighten{0};
  TlsContext tls;
  std::optional<PeerKey> peer_key;  ///< Signs messages to processes; from the settings' key file.
  std::string host;                 ///< Host of the settings, the sender of signed messages.
};

/// The configuration object as read from the platform; version 0 when it does not exist.
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
  Awaitable<Result<VersionedConfig>> ReadPlatform();
  /// Reads it from the platform or, when that does not answer, the newest from the peers.
  Awaitable<Result<ConfigDocument>> ReadAnywhere();
  /// Reads an audit page.
  Awaitable<Result<AuditPage>> ReadPage(int64_t number);
  /// Reads the host list; empty when it cannot be read.
  Awaitable<std::vector<ListedHost>> ReadHostList();

  /// Prints the text, or with --output=json the object.
  void Print(const std::string& text, const boost::json::object& object) const;
  /// Prints an error to standard error in the chosen form and returns its exit code.
  ExitCode Fail(const Error& error) const;

 private:
  boost::asio::io_context& io_;
  OperatorOptions options_;
  HttpClient outside_;
  HttpClient peers_;
  HttpObjectApi objects_;
  HttpHostList host_list_;
};

using OperatorBody = std::function<Awaitable<ExitCode>(OperatorSession&)>;

/// Runs a command's body with a session made from the flags.
ExitCode RunOperator(const OperatorBody& body);

/// Parses the inventory of a document. A valid document always has one.
Result<Inventory> InventoryOf(const ConfigDocument& document);

/// Name of the settings file given by --settings.
std::string SettingsFlag();

/// Whether --output=json was given.
bool JsonOutput();

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_OPERATOR_SESSION_H_
