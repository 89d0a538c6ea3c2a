package matcher

import "strings"

// hostKey returns the form in which hosts are compared: letters of ASCII in lower case,
// without the dot that ends an absolute domain name and without an empty port.
func hostKey(host string) string {
	name, port := splitPort(host)
	name = strings.TrimSuffix(lowerASCII(name), ".")
	if port == "" {
		return name
	}
	return name + ":" + port
}

// splitPort splits a host into its name and its port, which is empty if there is none. The
// colons within an IPv6 address do not precede a port.
func splitPort(host string) (name, port string) {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.IndexByte(host[i:], ']') >= 0 {
		return host, ""
	}
	if isBareIPv6 := host[0] != '[' && strings.IndexByte(host, ':') < i; isBareIPv6 {
		return host, ""
	}
	return host[:i], host[i+1:]
}

// lowerASCII returns text with the letters A to Z in lower case. Other letters stay, since
// the mapping of Unicode turns some of them, such as the Kelvin sign, into letters of ASCII.
func lowerASCII(text string) string {
	if strings.IndexFunc(text, isUpperASCII) < 0 {
		return text
	}
	return strings.Map(func(r rune) rune {
		if isUpperASCII(r) {
			return r + 'a' - 'A'
		}
		return r
	}, text)
}

func isUpperASCII(r rune) bool { return 'A' <= r && r <= 'Z' }
