/** HTTP/1.x server on Netty and HTTP client on AsyncHttpClient. */
package org.apricotstand.http;
