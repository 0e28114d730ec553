#ifndef FUCHSIAWEIR_GATEWAY_STREAM_ORIGINS_H_
#define FUCHSIAWEIR_GATEWAY_STREAM_ORIGINS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/listed_versions.h"
#include "core/origin_inference.h"
#include "core/stream_origin_table.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarded_request.h"
#include "net/http_server.h"
#include "net/metrics.h"

namespace fuchsiaweir {

/// Path under which a process returns which software version began a stream.
inline constexpr char kStreamOriginPath[] = "/internal/v1/streams";

/// Knows which software version began each recent stream, together with the other processes. A
/// stream that its caller resumes may go on only at that version.
///
/// While a service has had one version for as long as streams last, nothing is replicated.
/// Otherwise a gateway sends the record of each stream to a few other processes, its holders,
/// before the caller gets the first event.
class StreamOrigins : public Component {
 public:
  StreamOrigins(ComponentRegistry& components, FleetView& view);

  /// Records that a runner of the version has begun a stream. `first_attempt` is the id of the
  /// caller's attempt that got its first event.
  void OnBegun(const std::string& service, const std::string& first_attempt,
               const std::string& version);
  /// Sets the version that began the stream that the request resumes. Returns a refusal if neither
  /// this process nor the holders know it, and it cannot be inferred.
  Awaitable<std::optional<Refusal>> AdmitResumption(ForwardedRequest& request);

  void OnMessage(const StreamsMessage& message);
  /// Answers another process that looks for a stream.
  HttpResponse Serve(const HttpTarget& target) const;

 private:
  /// The answers to a question that several processes were asked.
  struct Inquiry;
  /// The version that began a stream, and where it was found.
  struct Origin {
    std::optional<std::string> version;  ///< Nothing if it was not found.
    const char* source = "unknown";
    bool inferred = false;  ///< No process has returned a record.
  };

  /// Returns the version that began the stream, if it can be found out within about `limit`.
  Awaitable<Origin> Find(std::string service, std::string first_attempt, Duration limit);
  void OnTable(const RouteTable& table);
  void Tick();
  /// From now on replicates the records of these services' streams. Holders of earlier records are
  /// brought up to date.
  void UpdateReplication(std::set<std::string> services);
  SeenVersions Seen(const std::string& service, Duration lifetime) const;
  /// Names of the sidecars whose reports arrive and whose runners do not leave.
  std::vector<std::string> LiveSidecars() const;
  /// Whether the sidecars have had time to report since this process has the list of runners.
  bool ReportsKnown() const;
  /// Returns the holders of the stream's record: a gateway, and `count` of the sidecars.
  std::vector<Endpoint> Holders(uint64_t key, const std::vector<std::string>& sidecars,
                                size_t count) const;
  /// Replicates the records of the service's streams that this process has begun.
  /// `former_sidecars`: only of those whose holders are others than among these.
  void ReplicateBegun(const std::string& service,
                      const std::optional<std::vector<std::string>>& former_sidecars);
  /// Sends the records of streams of one version to their holders.
  void Replicate(const std::string& version, const std::vector<uint64_t>& keys);
  /// Asks the holders of a stream, and if none has a record, infers the version. Ends after about
  /// `limit`.
  Awaitable<Origin> AskHolders(std::string service, uint64_t key, Duration limit);
  Awaitable<void> Ask(Endpoint holder, std::string target, std::shared_ptr<Inquiry> inquiry);
  /// Latest time at which the list of runners was known to be current, by `SuspendAwareNow`.
  std::optional<TimePoint> ListAsOf() const;
  /// Starts a read of the list of runners, unless one is in progress or has just been.
  void RequestList();
  Awaitable<void> ReadList();

  boost::asio::io_context& io_;
  FleetView& view_;
  Metrics& metrics_;
  PeerLink& link_;
  HttpClient& client_;
  StreamOriginTable table_;
  ListedVersions listed_;
  /// Longest time within which callers resume a stream, by the desired state.
  Duration lifetime_ = kMinStreamLifetime;
  Duration replicated_lifetime_{0};            ///< The same, by the records of others.
  std::vector<std::string> sidecars_;          ///< That were alive at the last check of a gateway.
  std::optional<TimePoint> first_list_at_;     ///< By `SuspendAwareNow`.
  std::set<std::string> replicated_services_;  ///< Whose records are replicated.
  bool reading_list_ = false;
  TimePoint next_list_read_at_;            ///< By `SteadyNow`.
  std::optional<TimePoint> list_read_at_;  ///< Start of the last read that succeeded.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_GATEWAY_STREAM_ORIGINS_H_
