#ifndef FUCHSIAWEIR_CORE_COMPLETION_API_H_
#define FUCHSIAWEIR_CORE_COMPLETION_API_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/frame.h"
#include "core/inventory.h"
#include "core/result.h"

namespace fuchsiaweir {

/// Completion endpoint that a caller used.
enum class CompletionKind { kText, kChat };

/// A caller's request for a completion.
struct CompletionRequest {
  CompletionKind kind = CompletionKind::kText;
  std::string model;
  std::string prompt;  ///< For chats, the messages as "ROLE: CONTENT" lines.
  int64_t max_tokens = 256;
  bool stream = false;
  int64_t priority = 0;  ///< -10 to 10; higher values run first.
};

/// Parses the JSON body of a completion request. An invalid body gives kBadRequest with the reason.
Result<CompletionRequest> ParseCompletionRequest(CompletionKind kind, std::string_view body);

/// Renders a complete, non-streamed completion as JSON.
std::string RenderCompletion(const CompletionRequest& request, const std::string& id,
                             const std::string& text, const std::string& finish,
                             const Usage& usage);

/// Render server-sent events: a chunk of text, the final chunk with usage and [DONE], or an error.
std::string RenderTextEvent(const CompletionRequest& request, const std::string& id,
                            const std::string& text);
std::string RenderFinalEvents(const CompletionRequest& request, const std::string& id,
                              const std::string& finish, const Usage& usage);
std::string RenderErrorEvent(const Error& error);

/// Renders the model list of GET /v1/models.
std::string RenderModels(const std::vector<Model>& models);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_COMPLETION_API_H_
