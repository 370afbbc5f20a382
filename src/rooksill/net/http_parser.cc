#include "rooksill/net/http_parser.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace rooksill::net {
namespace {

bool token_char(unsigned char c) {
  return std::isalnum(c) ||
         std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
}

std::string lower(std::string_view s) {
  std::string out(s);
  for (char& c : out) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool has_token(std::string_view list, std::string_view wanted) {
  while (!list.empty()) {
    auto comma = list.find(',');
    if (lower(trim(list.substr(0, comma))) == wanted) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace

HttpParser::State HttpParser::fail(int status) {
  phase_ = Phase::kError;
  error_status_ = status;
  return State::kError;
}

bool HttpParser::parse_start_line(std::string_view line) {
  auto first = line.find(' ');
  if (first == std::string_view::npos || first == 0) return false;
  if (kind_ == Kind::kRequest) {
    auto last = line.rfind(' ');
    if (last == first) return false;
    std::string_view method = line.substr(0, first);
    std::string_view target = line.substr(first + 1, last - first - 1);
    std::string_view version = line.substr(last + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
    if (!std::all_of(method.begin(), method.end(), token_char)) return false;
    if (target.empty() || target.front() != '/') return false;
    for (unsigned char c : target)
      if (c <= ' ' || c >= 127) return false;
    message_.method = method;
    message_.target = target;
    message_.close = version == "HTTP/1.0";
    return true;
  }
  std::string_view version = line.substr(0, first);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  std::string_view rest = line.substr(first + 1);
  if (rest.size() < 3 || (rest.size() > 3 && rest[3] != ' ')) return false;
  int status = 0;
  for (int i = 0; i < 3; ++i) {
    char c = rest[static_cast<size_t>(i)];
    if (c < '0' || c > '9') return false;
    status = status * 10 + (c - '0');
  }
  if (status < 100) return false;
  message_.status = status;
  message_.close = version == "HTTP/1.0";
  return true;
}

bool HttpParser::parse_header(std::string_view line) {
  auto colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  std::string_view name = line.substr(0, colon);
  if (!std::all_of(name.begin(), name.end(), token_char)) return false;
  std::string_view value = trim(line.substr(colon + 1));
  for (unsigned char c : value)
    if ((c < ' ' && c != '\t') || c == 127) return false;
  std::string key = lower(name);
  if (key == "content-length") {
    // Two lengths, or a length beside chunks, are how requests get smuggled.
    if (has_length_ || chunked_ || value.empty() || value.size() > 12) return false;
    size_t n = 0;
    for (char c : value) {
      if (c < '0' || c > '9') return false;
      n = n * 10 + static_cast<size_t>(c - '0');
    }
    remaining_ = n;
    has_length_ = true;
  } else if (key == "transfer-encoding") {
    if (has_length_ || chunked_ || lower(value) != "chunked") return false;
    chunked_ = true;
  } else if (key == "connection") {
    if (has_token(value, "close")) message_.close = true;
  }
  return true;
}

bool HttpParser::parse_head() {
  std::string_view rest(head_);
  bool first = true;
  while (!rest.empty()) {
    auto end = rest.find("\r\n");
    if (end == std::string_view::npos) return false;
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + 2);
    if (line.empty()) break;
    if (line.find('\r') != std::string_view::npos || line.find('\n') != std::string_view::npos)
      return false;
    if (first ? !parse_start_line(line) : !parse_header(line)) return false;
    first = false;
  }
  return !first;
}

// Collects a short line (chunk size or trailer); true when it is complete.
bool HttpParser::take_line(char c) {
  line_.push_back(c);
  return c == '\n';
}

HttpParser::State HttpParser::feed(std::string_view data, size_t& used) {
  used = 0;
  while (phase_ != Phase::kDone) {
    if (phase_ == Phase::kError) return State::kError;
    if (used >= data.size()) return State::kNeedMore;
    switch (phase_) {
      case Phase::kHead: {
        char c = data[used++];
        head_.push_back(c);
        if (head_.size() > max_head_) return fail(431);
        if (c != '\n' || head_.size() < 4 || head_.compare(head_.size() - 4, 4, "\r\n\r\n") != 0) {
          if (c == '\n' && head_ == "\r\n") head_.clear();  // an empty line before a message
          break;
        }
        if (!parse_head()) return fail(400);
        if (has_length_ && remaining_ > max_body_) return fail(413);
        if (chunked_) {
          phase_ = Phase::kChunkSize;
        } else {
          phase_ = remaining_ > 0 ? Phase::kBody : Phase::kDone;
        }
        break;
      }
      case Phase::kBody:
      case Phase::kChunkData: {
        size_t n = std::min(remaining_, data.size() - used);
        message_.body.append(data.substr(used, n));
        used += n;
        remaining_ -= n;
        if (remaining_ == 0) {
          phase_ = phase_ == Phase::kBody ? Phase::kDone : Phase::kChunkEnd;
          line_.clear();
        }
        break;
      }
      case Phase::kChunkEnd:
        if (take_line(data[used++])) {
          if (line_ != "\r\n") return fail(400);
          line_.clear();
          phase_ = Phase::kChunkSize;
        } else if (line_.size() > 2) {
          return fail(400);
        }
        break;
      case Phase::kChunkSize: {
        if (!take_line(data[used++])) {
          if (line_.size() > 10) return fail(400);
          break;
        }
        size_t n = 0, digits = 0;
        for (; digits + 2 < line_.size(); ++digits) {
          unsigned char c = static_cast<unsigned char>(line_[digits]);
          if (!std::isxdigit(c)) return fail(400);
          n = n * 16 + static_cast<size_t>(std::isdigit(c) ? c - '0' : std::tolower(c) - 'a' + 10);
        }
        if (digits == 0 || line_[digits] != '\r') return fail(400);
        line_.clear();
        if (message_.body.size() + n > max_body_) return fail(413);
        remaining_ = n;
        phase_ = n > 0 ? Phase::kChunkData : Phase::kTrailer;
        break;
      }
      case Phase::kTrailer:
        if (++trailer_bytes_ > max_head_) return fail(431);
        if (take_line(data[used++])) {
          if (line_ == "\r\n") phase_ = Phase::kDone;
          line_.clear();
        }
        break;
      case Phase::kDone:
      case Phase::kError:
        break;
    }
  }
  return State::kDone;
}

HttpMessage HttpParser::take() {
  HttpMessage out = std::move(message_);
  *this = HttpParser(kind_, max_head_, max_body_);
  return out;
}

}  // namespace rooksill::net
