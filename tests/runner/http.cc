// Scenarios of kind `http`: HTTP messages, fed to the parser whole and in fragments.
#include <string>
#include <string_view>

#include "rooksill/net/http_parser.h"
#include "runner/kinds.h"

namespace runner {

namespace {

using rooksill::net::HttpParser;

constexpr size_t kMaxHeaderBytes = 256, kMaxBodyBytes = 64;

// Replaces the escapes "\r", "\n" and "\s" (space): words of a scenario cannot contain white space.
std::string unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 >= text.size()) {
      out.push_back(text[i]);
      continue;
    }
    const char escaped = text[++i];
    out.push_back(escaped == 'r' ? '\r' : escaped == 'n' ? '\n' : escaped == 's' ? ' ' : escaped);
  }
  return out;
}

// Returns `ok` for a complete message, `more` for an incomplete one, or the HTTP status with which
// the parser rejects it.
std::string parse_in_pieces(const std::string& text, size_t piece_size, HttpParser::Kind kind) {
  HttpParser parser(kind, kMaxHeaderBytes, kMaxBodyBytes);
  for (size_t at = 0; at < text.size(); at += piece_size) {
    size_t used = 0;
    const auto state = parser.feed(std::string_view(text).substr(at, piece_size), used);
    if (state == HttpParser::State::kDone) return "ok";
    if (state == HttpParser::State::kError) return std::to_string(parser.error_status());
  }
  return "more";
}

// Line: request|response RESULT TEXT…. The result has to be the same for each fragment size.
void run_message(const Line& line) {
  const auto kind =
      line.word(0) == "request" ? HttpParser::Kind::kRequest : HttpParser::Kind::kResponse;
  std::string text;
  for (size_t i = 2; i < line.words.size(); ++i) text += line.words[i];
  text = unescape(text);
  for (const size_t piece_size : {text.size(), size_t{1}, size_t{3}}) {
    const std::string got = parse_in_pieces(text, piece_size, kind);
    if (got != line.word(1))
      fail(line, "got " + got + " in fragments of " + std::to_string(piece_size) + " bytes");
  }
}

}  // namespace

void run_http(const std::vector<Line>& lines) {
  for (const auto& line : lines)
    if (line.word(0) != "kind") run_message(line);
}

}  // namespace runner
