#include <CppUTest/TestHarness.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "net/config_editor.h"
#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

constexpr AuditLimits kSmallLimits{4, 2};

/// Submits a change as one operator command does and returns the accepted revision, or 0.
int64_t Submit(HttpObjectApi& objects, boost::asio::io_context& io, const std::string& inventory) {
  int64_t accepted = 0;
  io.restart();
  Spawn(io, "submit", [&]() -> Awaitable<void> {
    const ObjectRead read = co_await objects.Read(kConfigObject, Seconds(2));
    const ConfigDocument current = DecodeConfigDocument(read.value).value();
    const std::string number = std::to_string(current.revision);
    ConfigChange change{current.revision, "test", "now", "change " + number, number, inventory};
    SubmitOptions options;
    options.timeout = Seconds(5);
    options.limits = kSmallLimits;
    const Result<int64_t> result =
        co_await SubmitChange(objects, current, read.version, change, options);
    if (result) accepted = result.value();
  });
  io.run();
  return accepted;
}

}  // namespace

TEST_GROUP(AuditTrail){};

// Guards against changes without a record and records that are lost or doubled when they move to
// a page, with lost answers to the writes of pages and documents.
TEST(AuditTrail, KeepsOneRecordPerChange) {
  Deployment deployment;
  deployment.Start();
  boost::asio::io_context io(1);
  HttpClient client(io);
  HttpObjectApi objects(client, {"127.0.0.1", static_cast<uint16_t>(deployment.port("platform"))});
  for (int64_t revision = 2; revision <= 12; ++revision) {
    // With a page due, two writes follow; both lose their answers.
    deployment.InjectFault("platform", R"({"lose_answers":2})");
    LONGS_EQUAL(revision, Submit(objects, io, deployment.inventory()));
  }
  deployment.InjectFault("platform", R"({"lose_answers":0})");

  std::string output;
  LONGS_EQUAL(0, deployment.RunPlatformCommand({"audit", "--output=json"}, &output));
  const boost::json::value parsed = boost::json::parse(output);
  const boost::json::array& records = parsed.at("records").as_array();
  LONGS_EQUAL(12, records.size());
  for (size_t i = 0; i < records.size(); ++i) {
    LONGS_EQUAL(i + 1, records[i].at("new_revision").as_int64());
  }
}

}  // namespace fuchsiaweir::testing
