#include <settings/settingsreader.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <limits>

namespace Verbena::Settings {

namespace {

TEST(SettingsReaderTest, namesFileLineAndKeyOfEveryProblem)
{
    auto reader = SettingsReader::fromText("port: 70000\nextra: 1\ndelay: 5 parsecs\nlist: 3\n", "file.yaml");
    ASSERT_TRUE(reader);
    SettingsReader &root = reader.value();
    EXPECT_EQ(root.integer("port", 80, 0, 65535), 80);
    root.span("delay", std::chrono::seconds(1), std::chrono::seconds(0), std::chrono::seconds(9));
    root.strings("list");
    root.requiredString("name");
    const auto finished = root.finish();
    ASSERT_FALSE(finished);
    const std::string &message = finished.error().message;
    EXPECT_NE(message.find("file.yaml:1: port:"), std::string::npos) << message;
    EXPECT_NE(message.find("file.yaml:2: extra: This key is not known."), std::string::npos) << message;
    EXPECT_NE(message.find("file.yaml:3: delay:"), std::string::npos) << message;
    EXPECT_NE(message.find("file.yaml:4: list:"), std::string::npos) << message;
    EXPECT_NE(message.find("name: This key is required."), std::string::npos) << message;
}

TEST(SettingsReaderTest, readsSpansWithUnits)
{
    auto reader = SettingsReader::fromText("a: 250ms\nb: 2min\n", "file.yaml");
    ASSERT_TRUE(reader);
    const std::chrono::hours limit(1);
    EXPECT_EQ(reader.value().span("a", {}, {}, limit), std::chrono::milliseconds(250));
    EXPECT_EQ(reader.value().span("b", {}, {}, limit), std::chrono::minutes(2));
    EXPECT_TRUE(reader.value().finish());
}

TEST(SettingsReaderTest, namesAKeyThatStandsTwice)
{
    auto reader = SettingsReader::fromText("a: 1\nb: 2\na: 3\n", "file.yaml");
    ASSERT_TRUE(reader);
    reader.value().integer("a", 0, 0, 9);
    reader.value().integer("b", 0, 0, 9);
    const auto finished = reader.value().finish();
    ASSERT_FALSE(finished);
    EXPECT_EQ(finished.error().message, "file.yaml:3: a: This key stands here twice.");
}

/// Asks for keys of every type, as a program would.
Core::Result<void> readEverything(SettingsReader &root)
{
    root.requiredString("a");
    root.integer("b", 1, 0, 10);
    root.number("c", 0.5, 0.0, std::numeric_limits<double>::max());
    root.boolean("d", true);
    root.span("e", std::chrono::seconds(90), std::chrono::seconds(0), std::chrono::hours(1));
    root.strings("f");
    root.choice("g", "x", {"x", "y"});
    for (SettingsReader &item : root.sections("h")) {
        item.requiredString("a");
        item.section("b").integer("a", 1, 0, 10);
    }
    SettingsReader names = root.section("i");
    for (const std::string &name : names.keys()) {
        names.section(name).requiredString("a");
    }
    return root.finish();
}

TEST(SettingsReaderTest, describesEveryKey)
{
    SettingsReader reader = SettingsReader::forDescription();
    ASSERT_TRUE(readEverything(reader));
    EXPECT_EQ(describeAsTable(reader.descriptions()),
        "| key | type | default | range |\n|---|---|---|---|\n"
        "| `a` | text | required |  |\n"
        "| `b` | whole number | 1 | 0 to 10 |\n"
        "| `c` | number | 0.5 | at least 0 |\n"
        "| `d` | true or false | true |  |\n"
        "| `e` | span of time | 90s | 0us to 1h |\n"
        "| `f` | list of texts | empty |  |\n"
        "| `g` | word | `x` | x, y |\n"
        "| `h[].a` | text | required |  |\n"
        "| `h[].b.a` | whole number | 1 | 0 to 10 |\n"
        "| `i.<name>.a` | text | required |  |\n");
}

/// Either the text is refused with a place, or each problem names file, line and key.
void expectPlacedProblems(const std::string &text)
{
    auto reader = SettingsReader::fromText(text, "file.yaml");
    if (!reader) {
        RC_ASSERT(reader.error().peer.starts_with("file.yaml:"));
        return;
    }
    const auto finished = readEverything(reader.value());
    if (finished) {
        return;
    }
    std::istringstream lines(finished.error().message);
    std::string line;
    while (std::getline(lines, line)) {
        int number = 0;
        int keyBegin = 0;
        RC_ASSERT(std::sscanf(line.c_str(), "file.yaml:%d: %n", &number, &keyBegin) == 1);
        RC_ASSERT(number >= 1);
        RC_ASSERT(line.find(": ", static_cast<std::size_t>(keyBegin)) != std::string::npos);
    }
}

TEST(SettingsReaderTest, anyBytesAreRefusedWithTheirPlace)
{
    EXPECT_TRUE(rc::check("any bytes", [](const std::string &text) { expectPlacedProblems(text); }));
}

TEST(SettingsReaderTest, piecesOfYamlAreRefusedWithTheirPlace)
{
    const std::vector<std::string> pieces{"a",
        "b: ",
        "c: ",
        "d: ",
        "e: ",
        "f: ",
        "h: ",
        "i: ",
        "- ",
        "\n",
        "\n  ",
        "{",
        "}",
        "[",
        "]",
        ",",
        "? ",
        "&x ",
        "*x",
        "<<: ",
        "|\n",
        "\"",
        "'",
        "#",
        "---",
        "1",
        "0x",
        "-",
        "5s",
        "~",
        "!!t ",
        "%",
        "\t",
        "\xff",
        "[1]: 2",
        "a: 1\n",
        "h: [{a: 1}]\n",
        "i: {n: {}}\n"};
    EXPECT_TRUE(rc::check("pieces of YAML", [&pieces] {
        const auto chosen = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(pieces));
        std::string text;
        for (const std::string &piece : chosen) {
            text += piece;
        }
        expectPlacedProblems(text);
    }));
}

TEST(SettingsReaderTest, keepsAProblemOnOneLine)
{
    auto reader = SettingsReader::fromText("\"x\\ny\": 1\n", "file.yaml");
    ASSERT_TRUE(reader);
    const auto finished = reader.value().finish();
    ASSERT_FALSE(finished);
    EXPECT_EQ(finished.error().message, "file.yaml:1: x?y: This key is not known.");
}

TEST(SettingsReaderTest, refusesDeepNestingInsteadOfRunningOutOfStack)
{
    EXPECT_FALSE(SettingsReader::fromText("a: " + std::string(100'000, '['), "file.yaml"));
    EXPECT_FALSE(SettingsReader::fromText("a: " + std::string(100'000, '{'), "file.yaml"));
}

TEST(SettingsReaderTest, refusesWhatIsNoMapping)
{
    EXPECT_FALSE(SettingsReader::fromText("- 1\n", "file.yaml"));
    EXPECT_FALSE(SettingsReader::fromText("a: [\n", "file.yaml"));
}

// A file without an end filled the memory.
TEST(SettingsReaderTest, refusesAFileWithoutEnd)
{
    const auto reader = SettingsReader::fromFile("/dev/zero");
    ASSERT_FALSE(reader);
    EXPECT_EQ(reader.error().code, Core::ErrorCode::ResourceExhausted);
}

} // namespace

} // namespace Verbena::Settings
