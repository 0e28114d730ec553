// Tests of runners that stop in the middle of an answer and close or reset the connection.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <string>

#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

namespace json = boost::json;

constexpr int kRunners = 8;

/// Bytes of an answer up to the point where the runner stops.
struct CutAnswer {
  const char* name;
  const char* bytes;  ///< "{head}" stands for the request id and the receipt.
  bool whole_if_closed = false;
};

constexpr CutAnswer kCutAnswers[] = {
    {"nothing", ""},
    {"status line", "HTTP/1.1 2"},
    {"after the status line", "HTTP/1.1 200 OK\r\n"},
    {"field name", "HTTP/1.1 200 OK\r\n{head}Content-Le"},
    {"length digits", "HTTP/1.1 200 OK\r\n{head}Content-Length: 1"},
    {"transfer coding", "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chun"},
    {"before the blank line", "HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n"},
    {"inside the blank line", "HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n\r"},
    {"no length, before the blank line", "HTTP/1.1 200 OK\r\n{head}"},
    {"body", "HTTP/1.1 200 OK\r\n{head}Content-Length: 9\r\n\r\nshort"},
    {"chunk size", "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5"},
    {"chunk", "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5\r\nsho"},
    {"between chunks", "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
    {"last chunk",
     "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n"},
    {"trailer",
     "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\nField: v"},
    {"event",
     "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
     "\r\n9\r\nid: 1\ndat\r\n"},
    {"interim answer", "HTTP/1.1 103 Early Hints\r\n{head}\r\n"},
    {"head after an interim answer",
     "HTTP/1.1 103 Early Hints\r\n{head}\r\nHTTP/1.1 200 OK\r\n{head}"},
    {"head after a late answer",
     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\n{head}"},
    {"no length", "HTTP/1.1 200 OK\r\n{head}\r\n", true},
    {"body without length", "HTTP/1.1 200 OK\r\n{head}\r\nshort", true},
};

bool IsWholeSuccess(const std::string& received) {
  return absl::StartsWith(received, "HTTP/1.1 2") &&
         (absl::StrContains(received, "Content-Length: ") ||
          absl::EndsWith(received, "\r\n0\r\n\r\n"));
}

}  // namespace

TEST_GROUP(CutAnswers) {
  // Enough runners that some are not avoided while others have just failed.
  Fleet fleet{1, kRunners};
  int calls = 0;

  void SetFault(const std::string& fault) {
    for (int i = 0; i < kRunners; ++i) fleet.InjectFault(absl::StrCat("runner", i), fault);
  }

  int64_t AllRuns() {
    int64_t runs = 0;
    for (int i = 0; i < kRunners; ++i) runs += fleet.Runs(i);
    return runs;
  }

  /// Lets the runners stop where `answer` says and checks what callers of the route receive.
  void CheckAnswer(const std::string& path, const CutAnswer& answer, json::object fault) {
    const std::string text = absl::StrCat(path, " ", answer.name, json::serialize(fault));
    // The connection of this call is kept and carries the request whose answer is cut.
    SetFault("{}");
    CHECK_TEXT(Eventually([&]() { return fleet.Call("/safe/", "x").status == 200; }), text.c_str());
    fault["raw"] = answer.bytes;
    SetFault(json::serialize(fault));
    const int64_t runs = AllRuns();
    const bool resumes = fault.contains("raw_if_resumed");
    const bool reached = Eventually([&]() {
      // Equal requests would be taken for ones that crash their runners.
      const std::string target = absl::StrCat(path, ++calls);
      const std::string received = fleet.CallForBytes(target, "events=8");
      CHECK_TEXT(!IsWholeSuccess(received), absl::StrCat(text, ": ", received).c_str());
      CHECK_TEXT(
          absl::StartsWith(received, "HTTP/1.1 50") || absl::StartsWith(received, "HTTP/1.1 200"),
          absl::StrCat(text, ": ", received).c_str());
      return AllRuns() > runs + (resumes ? 1 : 0);
    });
    CHECK_TEXT(reached, text.c_str());
  }
};

// Guards against a success with an empty or short body that looks complete: the end of the
// connection was taken for the end of the answer.
TEST(CutAnswers, AreNeverWhole) {
  fleet.Start();
  for (const char* path : {"/safe/", "/unsafe/", "/stream/", "/single/"}) {
    for (const CutAnswer& answer : kCutAnswers) {
      CheckAnswer(path, answer, {{"reset", true}});
      if (!answer.whole_if_closed) CheckAnswer(path, answer, {});
    }
  }
}

// Guards against a stream that looks complete although the runner that resumes it stops in its head
// or before its first event.
TEST(CutAnswers, DoNotCompleteAResumedStream) {
  fleet.Start();
  for (const CutAnswer& answer : kCutAnswers) {
    json::object fault{{"cut_after", 3}, {"raw_if_resumed", true}};
    if (!answer.whole_if_closed) CheckAnswer("/stream/", answer, fault);
    fault["reset"] = true;
    CheckAnswer("/stream/", answer, fault);
  }
}

}  // namespace fuchsiaweir::testing
