#include "core/file_text.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace fuchsiaweir {

std::optional<std::string> ReadFileText(const std::string& path, Findings& findings) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    findings.Add(path, 0, std::string("cannot be read: ") + std::strerror(errno));
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace fuchsiaweir
