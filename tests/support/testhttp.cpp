#include "testhttp.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>

namespace Verbena::Test {

namespace {

constexpr long timeoutSeconds = 60;

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *context)
{
    static_cast<TestAnswer *>(context)->body.append(data, size * count);
    return size * count;
}

std::size_t onField(char *data, std::size_t size, std::size_t count, void *context)
{
    const std::string line(data, size * count);
    const std::size_t colon = line.find(": ");
    const std::size_t end = line.find("\r\n");
    if (colon != std::string::npos && end != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        static_cast<TestAnswer *>(context)->fields[name] = line.substr(colon + 2, end - colon - 2);
    }
    return size * count;
}

} // namespace

TestAnswer sendHttp(const std::string &method, const std::string &url, const std::vector<std::string> &fields, const std::string &body)
{
    TestAnswer answer;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), &curl_easy_cleanup);
    curl_slist *list = nullptr;
    for (const std::string &field : fields) {
        list = curl_slist_append(list, field.c_str());
    }
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT, timeoutSeconds);
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &answer);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, &onField);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &answer);
    if (method != "GET") {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    }
    const CURLcode code = curl_easy_perform(easy.get());
    curl_slist_free_all(list);
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    answer.status = code == CURLE_OK ? static_cast<int>(status) : 0;
    return answer;
}

} // namespace Verbena::Test
